/** zod schemas for INI values: durations, sizes, percentages, lists, flags, names and addresses. */
import { isAddress, parseDuration, parseShare, parseSize, serviceName, type ServiceName } from '@bilberrystall/base'
import { z } from 'zod'

const NAME_PATTERN = /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/

export const name = z.string().regex(NAME_PATTERN, 'must be lower-case letters, digits and hyphens, at most 63')

export function duration(minMs: number, maxMs: number) {
  return valueWithUnit(parseDuration, 'must be a duration such as 250ms, 10s, 5m or 1h', minMs, maxMs, 'ms')
}

export function size(min: number, max: number) {
  return valueWithUnit(parseSize, 'must be a size such as 512B, 64KiB or 10MiB', min, max, 'bytes')
}

export const percentage = z.string().transform((text, context) => {
  const value = parseShare(text)
  if (value !== undefined) return value
  context.addIssue({ code: 'custom', message: 'must be a percentage between 0% and 100%' })
  return z.NEVER
})

export function integer(min: number, max: number) {
  return z.string().transform((text, context) => {
    const value = /^\d+$/.test(text.trim()) ? Number(text) : Number.NaN
    if (value >= min && value <= max) return value
    context.addIssue({ code: 'custom', message: `must be a whole number from ${min} to ${max}` })
    return z.NEVER
  })
}

/** A decimal number that is at least 0. */
export function decimal(max: number) {
  return z.string().transform((text, context) => {
    const value = /^\d+(?:\.\d+)?(?:e[+-]?\d+)?$/.test(text.trim()) ? Number(text) : Number.NaN
    if (value <= max) return value
    context.addIssue({ code: 'custom', message: `must be a number from 0 to ${max}` })
    return z.NEVER
  })
}

export const flag = z.enum(['yes', 'no'], 'must be yes or no').transform((text) => text === 'yes')

export const list = z.string().transform((text) =>
  text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== ''),
)

/** Services with weights, for example `slots:90, slots-next:10`. */
export const weightedServices = z.string().transform((text, context) => {
  const parts: { service: ServiceName; weight: number }[] = []
  for (const item of text.split(',')) {
    const match = /^([a-z0-9-]+):(\d{1,9})$/.exec(item.trim())
    if (match?.[1] === undefined) {
      context.addIssue({ code: 'custom', message: 'must be services with weights such as slots:90, slots-next:10' })
      return z.NEVER
    }
    parts.push({ service: serviceName(match[1]), weight: Number(match[2]) })
  }
  return parts
})

/** An IP address with a port, for example `127.0.0.1:8080` or `[::1]:8080`. */
export const address = z.string().refine(isAddress, 'must be an IP address with a port from 1 to 65535')

function valueWithUnit(
  parseValue: (text: string) => number | undefined,
  message: string,
  min: number,
  max: number,
  unitName: string,
) {
  return z.string().transform((text, context) => {
    const value = parseValue(text)
    if (value !== undefined && value >= min && value <= max) return value
    const reason = value === undefined ? message : `must be from ${min} to ${max} ${unitName}`
    context.addIssue({ code: 'custom', message: reason })
    return z.NEVER
  })
}
