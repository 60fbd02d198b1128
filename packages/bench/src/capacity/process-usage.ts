/** Reads the CPU time and resident memory of another process from `/proc`. */
import { readdirSync, readFileSync } from 'node:fs'

const NANOSECONDS_PER_MICROSECOND = 1_000

/** Returns the total run time of the threads of the process in µs. */
export function cpuMicrosecondsOf(pid: number): number {
  const folder = `/proc/${pid}/task`
  const times = readdirSync(folder).map((task) => Number(readTaskFile(`${folder}/${task}/schedstat`).split(' ')[0]))
  return times.reduce((total, time) => total + time, 0) / NANOSECONDS_PER_MICROSECOND
}

/** Returns the resident memory of the process in bytes. */
export function residentBytesOf(pid: number): number {
  return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) * 1024
}

/** Reads a file of a thread, or returns `0` if the thread has ended since the folder was listed. */
function readTaskFile(file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch {
    return '0'
  }
}
