/**
 * Sets the files of a damaged log aside, so that the folder can hold a new log while an operator inspects the old one.
 * The disk id is renamed first: without it the remaining files cannot be opened as the former log.
 */
import { err, ok, type Result } from 'neverthrow'
import { failure, type Failure } from '@bilberrystall/base'
import { localFileSystem, storageFailure, type FileSystem } from './file-system'
import { DISK_FILE, isLogFile, isSetAside, SET_ASIDE_PREFIX } from './recover'

/**
 * Returns the new names of the files. A folder that already holds a log set aside is left as it is: its disk has damaged
 * two logs. Errors: `folder-unusable`, `disk-full`.
 */
export async function setAsideLog(
  folder: string,
  fileSystem: FileSystem = localFileSystem,
): Promise<Result<readonly string[], Failure>> {
  try {
    const names = await fileSystem.list(folder)
    const hasDiskId = names.includes(DISK_FILE)
    // Without a disk id an earlier call was interrupted and is continued.
    if (hasDiskId && names.some(isSetAside)) {
      return err(failure('folderUnusable', `${folder} already holds a damaged log that was set aside`))
    }
    const files = names.filter((name) => isLogFile(name)).toSorted()
    if (hasDiskId) await rename(fileSystem, folder, [DISK_FILE])
    await rename(fileSystem, folder, files)
    return ok([...(hasDiskId ? [DISK_FILE] : []), ...files].map((name) => SET_ASIDE_PREFIX + name))
  } catch (cause) {
    return err(storageFailure(cause, 'folderUnusable', `cannot set the log in ${folder} aside`))
  }
}

async function rename(fileSystem: FileSystem, folder: string, names: readonly string[]): Promise<void> {
  for (const name of names) await fileSystem.rename(`${folder}/${name}`, `${folder}/${SET_ASIDE_PREFIX}${name}`)
  await fileSystem.syncFolder(folder)
}
