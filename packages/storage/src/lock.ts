/**
 * Lock against two processes in one data folder. The lock is an abstract Unix socket named after the folder's device and
 * inode: taking it is atomic and the kernel releases it when the process ends, so no stale lock remains after a crash.
 * It needs Linux, and both processes have to share a network namespace. Where the system has no such sockets the folder is
 * not locked.
 */
import { stat } from 'node:fs/promises'
import { createServer } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import { errorMessage, failure, type Failure } from '@bilberrystall/base'

/** Errors of systems without abstract Unix sockets. */
const UNSUPPORTED: ReadonlySet<string> = new Set(['EAFNOSUPPORT', 'EPROTONOSUPPORT'])

export interface FolderLock {
  release(): Promise<void>
}

/** Errors: `folder-in-use`, `folder-unusable`. */
export async function lockFolder(folder: string): Promise<Result<FolderLock, Failure>> {
  let name: string
  try {
    const { dev, ino } = await stat(folder)
    name = `\0bilberrystall-data-${dev}-${ino}`
  } catch (cause) {
    return err(failure('folderUnusable', errorMessage(cause)))
  }
  const server = createServer((socket) => socket.destroy())
  return new Promise((resolve) => {
    server.once('error', (cause) => {
      const { code = '' } = cause as NodeJS.ErrnoException
      if (UNSUPPORTED.has(code)) {
        // The service manager of such a system runs one process per folder; a lock file would outlive a power loss.
        resolve(ok({ release: () => Promise.resolve() }))
        return
      }
      const inUse = code === 'EADDRINUSE'
      resolve(err(failure(inUse ? 'folderInUse' : 'folderUnusable', `${folder}: ${cause.message}`)))
    })
    server.listen(name, () => {
      server.unref()
      resolve(ok({ release: () => closed(server) }))
    })
  })
}

function closed(server: ReturnType<typeof createServer>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
  })
}
