/**
 * Golden files of sessions: normalises times, ports, ids, digests and folders, each to a name in order of appearance,
 * so that equal values stay recognisable and the file is the same on every run.
 */
interface Kind {
  readonly name: string
  readonly pattern: RegExp
}

const KINDS: readonly Kind[] = [
  { name: 'time', pattern: /\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?Z/g },
  { name: 'uuid', pattern: /\b[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}\b/g },
  { name: 'digest', pattern: /\b[0-9a-f]{64}\b/g },
  { name: 'digest', pattern: /\b[0-9a-f]{12}\b/g },
  { name: 'epoch', pattern: /\b1[6-9]\d{11}\b/g },
  { name: 'port', pattern: /(?<=\b127\.0\.0\.1:)\d+\b/g },
]

export interface GoldenOptions {
  /** Texts such as temporary folders, with the names that replace them. */
  readonly replace?: Readonly<Record<string, string>>
}

export function normalise(text: string, options: GoldenOptions = {}): string {
  let result = text
  for (const [value, name] of Object.entries(options.replace ?? {})) result = result.replaceAll(value, name)
  for (const kind of KINDS) result = number(result, kind)
  return result
}

/** Times differ on each line without meaning, so they share one name; other values are numbered. */
function number(text: string, kind: Kind): string {
  const seen = new Map<string, string>()
  return text.replace(kind.pattern, (value) => {
    if (kind.name === 'time' || kind.name === 'epoch') return `<${kind.name}>`
    const known = seen.get(value) ?? `<${kind.name}-${seen.size + 1}>`
    seen.set(value, known)
    return known
  })
}

/** Commands and their output as an operator sees them. */
export class Session {
  readonly #parts: string[] = []

  command(
    args: readonly string[],
    result: { readonly status: unknown; readonly stdout: string; readonly stderr: string },
  ): void {
    const output = [result.stdout, result.stderr].map((text) => text.trimEnd()).filter((text) => text !== '')
    const status = result.status === 0 ? [] : [`exit status ${String(result.status)}`]
    this.#parts.push([`$ bilberrystall ${args.join(' ')}`, ...output, ...status].join('\n'))
  }

  text(options: GoldenOptions = {}): string {
    return normalise(`${this.#parts.join('\n\n')}\n`, options)
  }
}
