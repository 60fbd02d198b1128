/** Allocates ports under a fake process id, prints them and keeps running, so that they stay reserved. Arguments: id, count. */
import { freePort } from '@bilberrystall/testkit'

const [id, count] = process.argv.slice(2).map(Number)
Object.defineProperty(process, 'pid', { value: id })

void (async () => {
  const ports: number[] = []
  while (ports.length < (count ?? 0)) ports.push(await freePort())
  process.stdout.write(`${JSON.stringify({ ports })}\n`)
  setInterval(() => undefined, 1000)
})()
