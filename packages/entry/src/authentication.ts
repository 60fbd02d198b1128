/**
 * Identifies the organisation of a caller by the key in its `authorization` field. Keys never leave the entries: servers
 * get the name of the organisation in a field that only the entry sets.
 */
import { failure, type Failure, type OrganisationName } from '@bilberrystall/base'
import type { Document, Organisation, Route } from '@bilberrystall/document'
import { err, ok, type Result } from 'neverthrow'
import type { Dialect } from './dialect'

/**
 * Returns the organisation of the caller, undefined if the route is public and the key unknown, or if the document
 * requires no keys. Errors: `key-unknown`.
 */
export function authenticate(
  authorization: string | undefined,
  route: Route,
  document: Document,
  dialect: Pick<Dialect, 'keyScheme'>,
): Result<Organisation | undefined, Failure> {
  if (!document.requiresKeys) return ok(undefined)
  const key = readKey(authorization, dialect)
  const organisation = key === undefined ? undefined : document.organisationsByKey.get(key)
  return organisation === undefined && !route.isPublic ? err(failure('keyUnknown')) : ok(organisation)
}

/** Whether a request field concerns only the entry: the key of the caller, or the name that the entry sets. */
export function isCredentialField(
  name: string,
  value: string,
  { keyScheme, organisationHeader }: Pick<Dialect, 'keyScheme' | 'organisationHeader'>,
): boolean {
  if (name === organisationHeader) return true
  return name === 'authorization' && keyScheme !== undefined && schemeOf(value) === keyScheme
}

/** Returns the field that names the organisation to a server, as name and value; empty without an organisation. */
export function organisationFields(
  organisation: OrganisationName | undefined,
  { organisationHeader }: Pick<Dialect, 'organisationHeader'>,
): readonly string[] {
  return organisation === undefined || organisationHeader === undefined ? [] : [organisationHeader, organisation]
}

function readKey(authorization: string | undefined, { keyScheme }: Pick<Dialect, 'keyScheme'>): string | undefined {
  if (authorization === undefined || schemeOf(authorization) !== keyScheme) return undefined
  return authorization.trim().slice(keyScheme.length).trim()
}

function schemeOf(authorization: string): string {
  return authorization.trim().split(/[ \t]/, 1)[0]?.toLowerCase() ?? ''
}
