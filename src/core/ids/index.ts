/**
 * Branded identifier types: the compiler accepts neither a plain string for an
 * identifier nor one kind of identifier for another.
 */
import { randomBytes } from 'node:crypto'

declare const brand: unique symbol
type Brand<Kind extends string> = string & { readonly [brand]: Kind }

/** One entry node of this system; doesn't change while its process runs. */
export type NodeId = Brand<'NodeId'>
/** One cloud instance, as named in the instance list. */
export type InstanceId = Brand<'InstanceId'>
/** One failure domain: a group of instances that may fail together. */
export type DomainId = Brand<'DomainId'>
/** One team: the customer that owns routes and backend servers. */
export type TeamId = Brand<'TeamId'>
/** One backend server: a model engine or a plain service. */
export type BackendId = Brand<'BackendId'>
/** One version of the software or model that a team's backend servers run. */
export type VersionId = Brand<'VersionId'>
/** One request of a caller from admission to its end; kept when another node takes it over. */
export type RequestId = Brand<'RequestId'>
/** One part of a prompt that several requests may share; the same text has the same id in every prompt. */
export type PromptPartId = Brand<'PromptPartId'>
/** Digest of a whole request: method, host, path with query, team and body. */
export type RequestDigest = Brand<'RequestDigest'>
/** What requests have in common that may crash backend servers: a part of their prompts, or the whole request. */
export type RequestFeature = PromptPartId | RequestDigest
/** One attempt of a request at one backend server. */
export type AttemptId = Brand<'AttemptId'>
/** The key by which a caller marks repeats of the same request. */
export type IdempotencyKey = Brand<'IdempotencyKey'>
/** One write to the key-value service; stored with the value, so that the outcome of the write can be read back. */
export type WriteId = Brand<'WriteId'>
/** One lease of the key-value service. */
export type LeaseId = Brand<'LeaseId'>
/** One version move of one team. */
export type MoveId = Brand<'MoveId'>
/** One template: parameters with defaults from which team declarations are made. */
export type TemplateId = Brand<'TemplateId'>

/** Any branded identifier. */
export type AnyId = Brand<string>

/** Brands a string that was read from settings, a message or a store. Doesn't validate it. */
export function toId<Id extends AnyId> (text: string): Id {
  return text as unknown as Id
}

/**
 * Creates an identifier: the prefix, `_`, then 48 bits of wall time in
 * milliseconds and 80 random bits in base64url. The bytes of identifiers that
 * one process creates sort by time.
 */
export function createId<Id extends AnyId> (prefix: string, nowMs: number = Date.now()): Id {
  const bytes = randomBytes(16)
  bytes.writeUIntBE(nowMs, 0, 6)
  return toId<Id>(`${prefix}_${bytes.toString('base64url')}`)
}
