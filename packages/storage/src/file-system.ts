/**
 * The file operations that the log needs, as a small interface: tests replace it to inject short writes, full disks and
 * failing syncs.
 */
import { constants } from 'node:fs'
import { mkdir, open, readFile, readdir, rename, rm } from 'node:fs/promises'
import { errorMessage, failure, type CodeName, type Failure } from '@bilberrystall/base'

export interface OpenFile {
  /** Returns the number of bytes written, which may be fewer than given. */
  write(data: Uint8Array, position: number): Promise<number>
  /** Makes data and size durable. */
  datasync(): Promise<void>
  truncate(length: number): Promise<void>
  close(): Promise<void>
}

export interface FileSystem {
  makeFolder(folder: string): Promise<void>
  /** Names of the files in a folder. */
  list(folder: string): Promise<string[]>
  read(path: string): Promise<Uint8Array>
  /** Opens for writing; creates the file when it does not exist. */
  open(path: string): Promise<OpenFile>
  rename(from: string, to: string): Promise<void>
  remove(path: string): Promise<void>
  /** Makes created, renamed and removed names durable. */
  syncFolder(folder: string): Promise<void>
}

const OWNER_ONLY = 0o600

export const nodeFileSystem: FileSystem = {
  makeFolder: async (folder) => {
    await mkdir(folder, { recursive: true, mode: 0o700 })
  },
  list: (folder) => readdir(folder),
  read: (path) => readFile(path),
  open: async (path) => {
    const handle = await open(path, constants.O_RDWR | constants.O_CREAT, OWNER_ONLY)
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

/** Error codes of the platform that mean that no space is left for this file. */
const FULL: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT', 'EFBIG'])

/** An error raised by the log itself with the code that the process ends with. */
export class StorageError extends Error {
  readonly failure: Failure

  constructor(cause: Failure) {
    super(cause.message)
    this.failure = cause
  }
}

export function storageFailure(cause: unknown, otherwise: CodeName, action: string): Failure {
  if (cause instanceof StorageError) return cause.failure
  const full = cause instanceof Error && 'code' in cause && FULL.has(cause.code)
  return failure(full ? 'diskFull' : otherwise, `${action}: ${errorMessage(cause)}`)
}

/** Writes all of `data`, continuing after short writes. */
export async function writeFully(file: OpenFile, data: Uint8Array, position: number): Promise<void> {
  let written = 0
  while (written < data.byteLength) {
    const count = await file.write(data.subarray(written), position + written)
    if (count <= 0) throw new StorageError(failure('diskFull', 'a write stored no byte'))
    written += count
  }
}

const TEMPORARY_SUFFIX = '.tmp'

export function isTemporary(name: string): boolean {
  return name.endsWith(TEMPORARY_SUFFIX)
}

/** Creates or replaces a file so that after a crash it holds either all of the new content or none of it. */
export async function replaceFile(
  fileSystem: FileSystem,
  folder: string,
  name: string,
  parts: readonly Uint8Array[],
): Promise<void> {
  const temporary = `${folder}/${name}${TEMPORARY_SUFFIX}`
  await fileSystem.remove(temporary)
  const file = await fileSystem.open(temporary)
  try {
    let position = 0
    for (const part of parts) {
      await writeFully(file, part, position)
      position += part.byteLength
    }
    await file.datasync()
  } finally {
    await file.close()
  }
  await fileSystem.rename(temporary, `${folder}/${name}`)
  await fileSystem.syncFolder(folder)
}
