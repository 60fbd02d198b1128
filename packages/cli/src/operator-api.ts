/** Responses of the operator API (section 6 of the design). Unknown members are preserved for `--json`. */
import { z } from 'zod'

export const acceptedSchema = z.looseObject({ revision: z.number(), digest: z.string() })
export type AcceptedChange = z.infer<typeof acceptedSchema>

/** RFC 9457 problem document. For a rejected change it includes the revision in force and the faults. */
export const problemSchema = z.looseObject({
  code: z.number(),
  detail: z.string().optional(),
  currentRevision: z.number().optional(),
  faults: z.array(z.object({ section: z.string(), key: z.string(), reason: z.string() })).optional(),
})
export type ProblemBody = z.infer<typeof problemSchema>

const documentRecordSchema = z.looseObject({
  revision: z.number(),
  digest: z.string(),
  at: z.number(),
  requester: z.string(),
  changeId: z.string(),
})

export const environmentSchema = documentRecordSchema.extend({
  environment: z.string(),
  text: z.string(),
  inForceEverywhere: z.boolean().optional(),
  nodes: z.array(z.looseObject({ node: z.string(), revision: z.number() })).optional(),
})
export type EnvironmentView = z.infer<typeof environmentSchema>

export const historySchema = z.looseObject({ documents: z.array(documentRecordSchema) })

export const auditRecordSchema = z.looseObject({
  sequence: z.number(),
  previous: z.string(),
  at: z.number(),
  operation: z.string(),
  requester: z.string(),
  source: z.string(),
  changeId: z.string().optional(),
  environment: z.string().optional(),
  target: z.string().optional(),
  digest: z.string().optional(),
  revision: z.number().optional(),
  result: z.string(),
  repeated: z.boolean().optional(),
})
export type AuditRecord = z.infer<typeof auditRecordSchema>

/** A page of audit records, newest first. To get the next page, pass `next` as the parameter `before`. */
export const auditSchema = z.looseObject({ records: z.array(auditRecordSchema), next: z.number().optional() })

export const nodesSchema = z.looseObject({ nodes: z.array(z.looseObject({ node: z.string() })) })
export const serversSchema = z.looseObject({ servers: z.array(z.looseObject({ server: z.string() })) })
export const quarantineSchema = z.looseObject({
  requests: z.array(
    z.looseObject({ request: z.string(), until: z.number(), lastCrash: z.number(), servers: z.array(z.string()) }),
  ),
})
export const evacuationsSchema = z.looseObject({
  domains: z.array(z.looseObject({ domain: z.string(), at: z.number(), requester: z.string() })),
})
export const objectSchema = z.looseObject({})

export type Change =
  | {
      readonly kind: 'submit'
      readonly changeId: string
      readonly environment: string
      readonly baseRevision: number
      readonly document: string
    }
  | {
      readonly kind: 'promote'
      readonly changeId: string
      readonly environment: string
      readonly baseRevision: number
      readonly sourceRevision: number
      readonly digest: string
    }
