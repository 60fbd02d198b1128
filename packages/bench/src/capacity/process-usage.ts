/** CPU time and resident memory of another process, from the files of the kernel about it. */
import { readdirSync, readFileSync } from 'node:fs'

const NANOSECONDS_PER_MICROSECOND = 1_000

/** Microseconds for which the threads of the process have run. */
export function cpuOf(pid: number): number {
  const folder = `/proc/${pid}/task`
  const times = readdirSync(folder).map((task) => Number(readTask(`${folder}/${task}/schedstat`).split(' ')[0]))
  return times.reduce((total, time) => total + time, 0) / NANOSECONDS_PER_MICROSECOND
}

/** Resident memory in bytes. */
export function memoryOf(pid: number): number {
  return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) * 1024
}

/** A thread may end between the listing and the reading. */
function readTask(file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch {
    return '0'
  }
}
