/** A caller that needs several seconds for the rest of a long response when its connection closes. */
import { parseDocument } from '@bilberrystall/document'
import { DOCUMENT, respond, startEntry, startFakeServer } from '../harness'
import { get, readWhileSending } from './raw-caller'

/** Larger than the buffers of the operating system. */
export const LONG_BODY_BYTES = 16 * 1024 * 1024
const PATIENT_DOCUMENT = parseDocument(DOCUMENT.replaceAll('deadline = 5s', 'deadline = 60s'))._unsafeUnwrap()

/** Reads a long response slowly during a stop that has time for it. */
export async function bytesAtSlowPace(crossing: string): Promise<number> {
  const server = await startFakeServer((received) => {
    void entry.drain(25_000)
    respond(received, 'x'.repeat(LONG_BODY_BYTES))
  })
  const { entry } = await startEntry([server], { document: () => PATIENT_DOCUMENT })
  return readWhileSending(entry.port, get('/read?1'), crossing, 96 * 1024)
}
