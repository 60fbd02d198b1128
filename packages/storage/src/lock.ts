/**
 * Prevents two processes from using the same data folder. The lock is an abstract Unix socket named after the folder's
 * device and inode: acquiring it is atomic, and the kernel releases it when the process ends, so a crash leaves no
 * stale lock. This works on Linux only and if both processes share a network namespace. On systems without abstract
 * Unix sockets the folder is not locked.
 */
import { stat } from 'node:fs/promises'
import { createServer } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import { errorMessage, failure, type Failure } from '@bilberrystall/base'

/** Error codes on systems that do not support abstract Unix sockets. */
const UNSUPPORTED_SOCKET_CODES: ReadonlySet<string> = new Set(['EAFNOSUPPORT', 'EPROTONOSUPPORT'])

export interface FolderLock {
  release(): Promise<void>
}

/** Locks a data folder. Errors: `folder-in-use`, `folder-unusable`. */
export async function lockFolder(folder: string): Promise<Result<FolderLock, Failure>> {
  let socketName: string
  try {
    const { dev, ino } = await stat(folder)
    socketName = `\0bilberrystall-data-${dev}-${ino}`
  } catch (cause) {
    return err(failure('folderUnusable', errorMessage(cause)))
  }
  const server = createServer((socket) => socket.destroy())
  return new Promise((resolve) => {
    server.once('error', (cause) => {
      const { code = '' } = cause as NodeJS.ErrnoException
      if (UNSUPPORTED_SOCKET_CODES.has(code)) {
        // On these systems the service manager must run only one process per folder. A lock file is no alternative,
        // because it could remain after a power loss.
        resolve(ok({ release: () => Promise.resolve() }))
        return
      }
      const inUse = code === 'EADDRINUSE'
      resolve(err(failure(inUse ? 'folderInUse' : 'folderUnusable', `${folder}: ${cause.message}`)))
    })
    server.listen(socketName, () => {
      server.unref()
      resolve(ok({ release: () => closeServer(server) }))
    })
  })
}

function closeServer(server: ReturnType<typeof createServer>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
  })
}
