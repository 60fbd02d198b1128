/** Frame of a script: runs a case, writes `record.txt` and sets the exit status that the issue asks for. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Platform } from './platform'
import type { Server } from './server'

const BROKEN = 1
const NOT_RUN = 2
/** A script may run for 120 s. */
const LIMIT_MS = 110_000

export interface Setup {
  readonly record: (line: string) => void
  readonly hasTrouble: boolean
  /** Ends the process or the server when the case ends. */
  readonly use: <Part extends Platform | Server>(part: Part) => Part
}

/** Runs `play`, which returns whether the rule was broken. It throws if the case could not run. */
export async function runCase(folder: string, play: (setup: Setup) => Promise<boolean>): Promise<never> {
  const startedAt = Date.now()
  const lines: string[] = []
  const parts: (Platform | Server)[] = []
  const record = (line: string) => {
    lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${line}`)
  }
  const use = <Part extends Platform | Server>(part: Part): Part => {
    parts.push(part)
    return part
  }
  const limit = new Promise<never>((_, reject) => {
    setTimeout(() => {
      reject(new Error('the case took too long'))
    }, LIMIT_MS)
  })
  let status: number
  try {
    const isBroken = await Promise.race([play({ record, use, hasTrouble: process.env.TROUBLE !== '0' }), limit])
    status = isBroken ? BROKEN : 0
    record(isBroken ? 'the rule was broken' : 'the rule held')
  } catch (cause) {
    status = NOT_RUN
    record(`the case could not run: ${cause instanceof Error ? cause.message : String(cause)}`)
  }
  for (const part of parts) await part.stop()
  writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
  console.log(lines.slice(-12).join('\n'))
  process.exit(status)
}
