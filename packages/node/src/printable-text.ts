/**
 * Text that another program chose, for log lines. JSON keeps some control characters (U+007F to U+009F), and tools that
 * print the value of a field would send all of them to a terminal, so characters outside printable ASCII are escaped.
 */

const ESCAPED_CHARACTERS = /[^\x20-\x7e]|\\/g
const HEX = 16

/** Longer text is cut off after `maxLength` characters and ends with `...`. */
export function printableText(text: string, maxLength: number): string {
  const escaped = text.slice(0, maxLength).replace(ESCAPED_CHARACTERS, escapeCharacter)
  return text.length > maxLength ? `${escaped}...` : escaped
}

function escapeCharacter(character: string): string {
  const hex = character.charCodeAt(0).toString(HEX)
  return hex.length <= 2 ? `\\x${hex.padStart(2, '0')}` : `\\u${hex.padStart(4, '0')}`
}
