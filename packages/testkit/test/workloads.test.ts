import { parseDocument } from '@bilberrystall/document'
import { workloadDocument } from '@bilberrystall/testkit'
import { expect, test } from 'vitest'

test('the document of the workloads is valid', () => {
  expect(parseDocument(workloadDocument())._unsafeUnwrap().routes).toHaveLength(9)
})
