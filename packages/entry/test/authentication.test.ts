/**
 * Identification of callers by the keys of organisations. Guards against calls that run without a key, for another
 * organisation, or with the key passed on to a server.
 */
import { parseDocument, type Document } from '@bilberrystall/document'
import { expect, test } from 'vitest'
import { authenticate, isCredentialField, organisationFields } from '../src/authentication'

const DIALECT = { keyScheme: 'token', organisationHeader: 'x-organisation' }
const TEXT = `[document]
title = Test
[service.a]
[route.closed]
service = a
path = /closed/
[route.open]
service = a
path = /open/
public = yes
[organisation.north]
keys = k1, k2
[organisation.south]
keys = k3
`

function documentOf(text: string): Document {
  return parseDocument(text)._unsafeUnwrap()
}

function resultOf(document: Document, routeName: string, authorization: string | undefined): string | undefined {
  const route = document.routes.find(({ name }) => name === routeName)
  if (route === undefined) throw new Error(`no route ${routeName}`)
  return authenticate(authorization, route, document, DIALECT).match(
    (organisation) => organisation?.name,
    ({ code }) => code,
  )
}

test('a call is attributed to the organisation that holds its key', () => {
  const document = documentOf(TEXT)
  const authorizations = ['Token k1', 'token   k2', 'TOKEN k3', 'Token k4', 'Token', 'Bearer k1', 'k1', undefined]
  const results = authorizations.map((value) => [
    value ?? 'none',
    resultOf(document, 'closed', value),
    resultOf(document, 'open', value),
  ])
  expect(results).toMatchInlineSnapshot(`
    [
      [
        "Token k1",
        "north",
        "north",
      ],
      [
        "token   k2",
        "north",
        "north",
      ],
      [
        "TOKEN k3",
        "south",
        "south",
      ],
      [
        "Token k4",
        "keyUnknown",
        undefined,
      ],
      [
        "Token",
        "keyUnknown",
        undefined,
      ],
      [
        "Bearer k1",
        "keyUnknown",
        undefined,
      ],
      [
        "k1",
        "keyUnknown",
        undefined,
      ],
      [
        "none",
        "keyUnknown",
        undefined,
      ],
    ]
  `)
})

test('calls need a key after the last organisation was removed', () => {
  const document = documentOf(
    '[document]\ntitle = Test\nrequire-keys = yes\n[service.a]\n[route.closed]\nservice = a\npath = /\n',
  )
  expect(resultOf(document, 'closed', 'Token k1')).toBe('keyUnknown')
})

test('calls need no key if the document names no organisations', () => {
  const document = documentOf('[document]\ntitle = Test\n[service.a]\n[route.closed]\nservice = a\npath = /\n')
  expect(resultOf(document, 'closed', undefined)).toBeUndefined()
})

test('a server gets the name that the entry sets and no key', () => {
  expect({
    key: isCredentialField('authorization', 'Token k1', DIALECT),
    otherScheme: isCredentialField('authorization', 'Basic YTpi', DIALECT),
    nameFromCaller: isCredentialField('x-organisation', 'south', DIALECT),
    otherField: isCredentialField('accept', '*/*', DIALECT),
    added: organisationFields(documentOf(TEXT).organisationsByKey.get('k1')?.name, DIALECT),
  }).toMatchInlineSnapshot(`
    {
      "added": [
        "x-organisation",
        "north",
      ],
      "key": true,
      "nameFromCaller": true,
      "otherField": false,
      "otherScheme": false,
    }
  `)
})
