/**
 * Branded identifiers. A plain string never passes for an identifier, and one
 * kind of identifier never passes for another.
 */
import { randomBytes } from 'node:crypto'

declare const brand: unique symbol
type Brand<Kind extends string> = string & { readonly [brand]: Kind }

/** One entry node of this system, stable for the life of its process. */
export type NodeId = Brand<'NodeId'>
/** One instance of the cloud, as the instance list names it. */
export type InstanceId = Brand<'InstanceId'>
/** One failure domain: instances in it may vanish together. */
export type DomainId = Brand<'DomainId'>
/** One team, the customer whose calls and backend servers belong together. */
export type TeamId = Brand<'TeamId'>
/** One backend server, a model engine or a plain service. */
export type BackendId = Brand<'BackendId'>
/** One version of what a team's backend servers run. */
export type VersionId = Brand<'VersionId'>
/** One caller's request, from admission to its end, on whatever node. */
export type RequestId = Brand<'RequestId'>
/** One attempt of one request at one backend server. */
export type AttemptId = Brand<'AttemptId'>
/** The caller's own key that makes repeats of a request recognisable. */
export type IdempotencyKey = Brand<'IdempotencyKey'>
/** One write to the key-value service, so that its fate can be read back. */
export type WriteId = Brand<'WriteId'>
/** One lease of the key-value service. */
export type LeaseId = Brand<'LeaseId'>
/** One version move of one team. */
export type MoveId = Brand<'MoveId'>
/** A set of parameters with defaults that teams fill in. */
export type TemplateId = Brand<'TemplateId'>

/** Any branded identifier. */
export type AnyId = Brand<string>

/** Brands a string that came from settings, the wire or a store. */
export function toId<Id extends AnyId> (text: string): Id {
  return text as unknown as Id
}

/**
 * Makes a new identifier: 48 bits of wall time, then 80 random bits, in
 * base64url. Identifiers made later on one machine sort later by time.
 */
export function createId<Id extends AnyId> (prefix: string, nowMs: number = Date.now()): Id {
  const bytes = randomBytes(16)
  bytes.writeUIntBE(nowMs, 0, 6)
  return toId<Id>(`${prefix}_${bytes.toString('base64url')}`)
}
