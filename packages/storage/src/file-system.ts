/**
 * File operations used by the log. Tests replace this interface to inject short writes, full disks and failed syncs.
 */
import { constants } from 'node:fs'
import { mkdir, open, readFile, readdir, rename, rm } from 'node:fs/promises'
import { errorMessage, failure, type CodeName, type Failure } from '@bilberrystall/base'

export interface OpenFile {
  /** Returns the number of bytes written, which may be less than the length of `data`. */
  write(data: Uint8Array, position: number): Promise<number>
  /** Flushes the data and the size of the file to disk. */
  datasync(): Promise<void>
  truncate(length: number): Promise<void>
  close(): Promise<void>
}

export interface FileSystem {
  makeFolder(folder: string): Promise<void>
  /** Returns the names of the files in a folder. */
  list(folder: string): Promise<string[]>
  read(path: string): Promise<Uint8Array>
  /** Opens a file for reading and writing and creates it if it does not exist. */
  open(path: string): Promise<OpenFile>
  rename(from: string, to: string): Promise<void>
  remove(path: string): Promise<void>
  /** Flushes the folder entry to disk, so that created, renamed and removed files survive a crash. */
  syncFolder(folder: string): Promise<void>
}

const OWNER_ONLY_FILE_MODE = 0o600

export const localFileSystem: FileSystem = {
  makeFolder: async (folder) => {
    await mkdir(folder, { recursive: true, mode: 0o700 })
  },
  list: (folder) => readdir(folder),
  read: (path) => readFile(path),
  open: async (path) => {
    const handle = await open(path, constants.O_RDWR | constants.O_CREAT, OWNER_ONLY_FILE_MODE)
    return {
      write: async (data, position) => (await handle.write(data, 0, data.byteLength, position)).bytesWritten,
      datasync: () => handle.datasync(),
      truncate: (length) => handle.truncate(length),
      close: () => handle.close(),
    }
  },
  rename: (from, to) => rename(from, to),
  remove: (path) => rm(path, { force: true }),
  syncFolder: async (folder) => {
    const handle = await open(folder, constants.O_RDONLY)
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  },
}

/** System error codes for a full disk, an exceeded quota and an exceeded file size limit. */
const NO_SPACE_CODES: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT', 'EFBIG'])

/** Error thrown by the log. Its failure holds the result code that the process exits with. */
export class StorageError extends Error {
  readonly failure: Failure

  constructor(cause: Failure) {
    super(cause.message)
    this.failure = cause
  }
}

/** Converts a thrown error to a failure: `disk-full` if there is no space left, `fallback` otherwise. */
export function storageFailure(cause: unknown, fallback: CodeName, action: string): Failure {
  if (cause instanceof StorageError) return cause.failure
  const isFull = cause instanceof Error && 'code' in cause && NO_SPACE_CODES.has(cause.code)
  return failure(isFull ? 'diskFull' : fallback, `${action}: ${errorMessage(cause)}`)
}

/** Writes all of `data` and continues after short writes. */
export async function writeAll(file: OpenFile, data: Uint8Array, position: number): Promise<void> {
  let written = 0
  while (written < data.byteLength) {
    const count = await file.write(data.subarray(written), position + written)
    if (count <= 0) throw new StorageError(failure('diskFull', 'a write returned 0 bytes'))
    written += count
  }
}

const TEMPORARY_SUFFIX = '.tmp'

export function isTemporaryFile(name: string): boolean {
  return name.endsWith(TEMPORARY_SUFFIX)
}

/** Creates or replaces a file atomically: after a crash it has either all of the new content or none of it. */
export async function writeFileAtomically(
  fileSystem: FileSystem,
  folder: string,
  name: string,
  parts: readonly Uint8Array[],
): Promise<void> {
  const temporaryPath = `${folder}/${name}${TEMPORARY_SUFFIX}`
  await fileSystem.remove(temporaryPath)
  const file = await fileSystem.open(temporaryPath)
  try {
    let position = 0
    for (const part of parts) {
      await writeAll(file, part, position)
      position += part.byteLength
    }
    await file.datasync()
  } finally {
    await file.close()
  }
  await fileSystem.rename(temporaryPath, `${folder}/${name}`)
  await fileSystem.syncFolder(folder)
}
