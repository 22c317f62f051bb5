/** Decodes the platform's list. An instance that can't be read is left out, the others hold. */
import { err, ok } from 'true-myth/result'
import { z } from 'zod'
import { createError } from '../../errors/index.ts'
import type { Result } from 'true-myth'
import type { CyclamenError } from '../../errors/index.ts'
import type { Backend } from '../../backends/types.ts'
import type { InstanceListing, ListedEntryNode } from './types.ts'

const maxNameChars = 256
const maxPort = 65_535
/** Latest wall time that a date can hold. */
const maxWallMs = 8.64e15

const nameSchema = z.string().min(1).max(maxNameChars)

const backendSchema = z.object({
  id: nameSchema,
  instance: nameSchema,
  team: nameSchema,
  kind: z.enum(['model-engine', 'plain-service']),
  version: nameSchema,
  domain: nameSchema,
  machineClass: nameSchema,
  reclaimable: z.boolean(),
  url: z.url({ protocol: /^https?$/ }),
  state: z.enum(['starting', 'live', 'leaving']),
  goneAtMs: z.number().min(0).max(maxWallMs).optional()
})

const nodeSchema = z.object({
  address: z.object({ node: nameSchema, domain: nameSchema, host: nameSchema, port: z.number().int().min(1).max(maxPort) }),
  leaving: z.boolean()
})

const listingSchema = z.object({ nodes: z.array(z.unknown()), backends: z.array(z.unknown()) })

/** Decodes the body of a response; `onInvalid` is called with the number of instances that were left out. */
export function decodeListing (body: unknown, onInvalid: (count: number) => void = () => {}): Result<InstanceListing, CyclamenError<'PlatformCallFailed'>> {
  const listing = listingSchema.safeParse(body)
  if (!listing.success) return err(createError('PlatformCallFailed', { service: 'instance list', operation: 'read', cause: 'the response can not be read' }))
  const { nodes, backends } = listing.data
  const soundNodes = nodes.flatMap(node => nodeSchema.safeParse(node).data ?? [])
  const soundBackends = backends.flatMap(backend => backendSchema.safeParse(backend).data ?? [])
  const invalid = nodes.length + backends.length - soundNodes.length - soundBackends.length
  if (invalid > 0) onInvalid(invalid)
  return ok({ nodes: soundNodes as ListedEntryNode[], backends: soundBackends as Backend[] })
}
