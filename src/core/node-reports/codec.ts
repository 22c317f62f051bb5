/** Encoding of the datagrams: compact CBOR arrays, because each should fit into one packet. */
import { decode, encode } from 'cbor-x'
import { decodeLimits, encodeLimits } from '../backend-limits/index.ts'
import { decodeSpeeds, encodeSpeeds } from '../backend-speeds/index.ts'
import { toId } from '../ids/index.ts'
import { isRevision } from '../platform/key-value/revision.ts'
import { decodeQuarantineReport, encodeQuarantineReport } from '../quarantine/index.ts'
import { readBoolean, readFields, readList, readNumber, readOptional, readText } from '../wire/index.ts'
import type { WireLimits } from '../backend-limits/index.ts'
import type { WireSpeeds } from '../backend-speeds/index.ts'
import type { BackendId, NodeId, TeamId } from '../ids/index.ts'
import type { WireQuarantine } from '../quarantine/index.ts'
import type { DeltaChange } from '../store-view/index.ts'
import type { QuotaDecision, QuotaGrants, QuotaRequest } from '../quota/index.ts'
import type { Activity, NodeDigest, NodeReport } from './types.ts'

type WireActivity = [quota: Array<[team: string, quota: number, tolerance: number, asked?: number]>, loads: Array<[string, number, number]>, prefixes: Array<[string, string[]]>, suspects?: Array<[backend: string, suspecting: number, hearing: number]>, levels?: Array<[team: string, quota: number, tolerance: number]> | null, leaving?: Array<[backend: string, startedAtMs: number | null]>, prompts?: WireQuarantine, limits?: WireLimits | null, speeds?: WireSpeeds | null]
type WireChange = [key: string, value: string | null | 0, modRevision: number, isByRestore?: 1]
type WireReport = ['report', string, string, number, boolean, boolean, number, WireActivity, Array<[number, Array<[string, number]>]>, Array<[string, number]>, unknown, (string | null)?, WireGrants?]
type WireDigest = ['digest', string, string, boolean, number, number, number, WireChange[] | null, WireActivity | null, boolean?, (number | null)?]
type WireGrants = Array<[collectorBootId: string, byTeam: Array<[team: string, quota: number, tolerance: number]>]>
type WireQuotaRequest = ['quota-request', version: number, node: string, bootId: string, number: number, team: string, tokens: number]
type WireQuotaDecision = ['quota-decision', version: number, bootId: string, requesterBootId: string, number: number, quota: number, tolerance: number, waitMs: number | null]

/** Most bytes of a datagram over IPv4. */
export const maxDatagramBytes = 65_507
/** Placeholder for the value of a change that is too large for a datagram. */
const omittedValue = 0
/** Placeholder for `reachableForMs` while the key-value service doesn't respond to the collector. */
const unreachable = -1
/** Version of quota requests and decisions; messages of another one are rejected. */
const quotaVersion = 1

function encodeActivity ({ quotaUsage, loads, prefixes, suspects, quotaLevels, leaving = new Map(), prompts, limits, speeds }: Activity): WireActivity {
  return [
    [...quotaUsage].map(([team, { quota, tolerance, asked }]) => [team, Math.round(quota), Math.round(tolerance), asked]),
    [...loads].map(([backend, load]) => [backend, load.requests, Math.round(load.pendingTokens)]),
    prefixes.map(({ backend, hashes }) => [backend, hashes]),
    [...suspects].map(([backend, { suspecting, hearing }]) => [backend, suspecting, hearing]),
    quotaLevels === undefined ? null : [...quotaLevels].map(([team, { quota, tolerance }]) => [team, Math.round(quota), Math.round(tolerance)]),
    [...leaving].map(([backend, startedAtMs]) => [backend, startedAtMs ?? null]),
    encodeQuarantineReport(prompts),
    encodeLimits(limits),
    encodeSpeeds(speeds)
  ]
}

function decodeActivity (wire: unknown): Activity {
  const [quota, loads, prefixes, suspects, levels, leaving, prompts, limits, speeds] = readFields(wire)
  return {
    quotaUsage: new Map(readList(quota, item => {
      const [team, fromQuota, tolerance, asked] = readFields(item)
      const usage = { quota: readNumber(fromQuota), tolerance: readNumber(tolerance) }
      return [toId<TeamId>(readText(team)), { ...usage, asked: readOptional(asked, readNumber) ?? usage.quota + usage.tolerance }]
    })),
    loads: new Map(readList(loads, item => {
      const [backend, requests, pendingTokens] = readFields(item)
      return [toId<BackendId>(readText(backend)), { requests: readNumber(requests), pendingTokens: readNumber(pendingTokens) }]
    })),
    prefixes: readList(prefixes, item => {
      const [backend, hashes] = readFields(item)
      return { backend: toId<BackendId>(readText(backend)), hashes: readList(hashes, readText) }
    }),
    suspects: new Map(readList(suspects ?? [], item => {
      const [backend, suspecting, hearing] = readFields(item)
      return [toId<BackendId>(readText(backend)), { suspecting: readNumber(suspecting), hearing: readNumber(hearing) }]
    })),
    prompts: decodeQuarantineReport(prompts),
    limits: decodeLimits(limits),
    speeds: decodeSpeeds(speeds),
    leaving: new Map(readList(leaving ?? [], item => {
      const [backend, startedAtMs] = readFields(item)
      return [toId<BackendId>(readText(backend)), readOptional(startedAtMs, readNumber)]
    })),
    quotaLevels: readOptional(levels, all => new Map(readList(all, item => {
      const [team, quota, tolerance] = readFields(item)
      return [toId<TeamId>(readText(team)), { quota: readNumber(quota), tolerance: readNumber(tolerance) }]
    })))
  }
}

/** Encodes a message so that it fits into a datagram: callers decide how long prompts and their parts are, and what else it tells must arrive. */
function encodeFitting (activity: Activity, encodeWith: (activity: Activity) => Buffer): Buffer {
  const whole = encodeWith(activity)
  if (whole.length <= maxDatagramBytes) return whole
  const withoutPrefixes = encodeWith({ ...activity, prefixes: [], speeds: undefined })
  return withoutPrefixes.length <= maxDatagramBytes ? withoutPrefixes : encodeWith({ ...activity, prefixes: [], speeds: undefined, prompts: undefined })
}

export function encodeReport (report: NodeReport): Buffer {
  return encodeFitting(report, activity => encodeReportWith(report, activity))
}

function encodeReportWith (report: NodeReport, activity: Activity): Buffer {
  const { node, bootId, sequence, isDraining, wantsDigest, revision, usage, workMs, evidence } = report
  const message: WireReport = [
    'report', node, bootId, sequence, isDraining, wantsDigest, revision, encodeActivity(activity),
    [...usage].map(([window, counts]) => [window, [...counts]]),
    [...workMs].map(([service, sumMs]) => [service, Math.round(sumMs)]),
    evidence,
    report.digestSource ?? null,
    [...report.quotaGrants ?? []].map(([collectorBootId, byTeam]) => [collectorBootId, [...byTeam].map(([team, { quota, tolerance }]) => [team, quota, tolerance])])
  ]
  return encode(message)
}

export function encodeDigest (digest: NodeDigest): Buffer {
  const { activity } = digest
  return activity === undefined ? encodeDigestWith(digest, undefined) : encodeFitting(activity, fitting => encodeDigestWith(digest, fitting))
}

function encodeDigestWith (digest: NodeDigest, activity: Activity | undefined): Buffer {
  const { node, bootId, isDraining, nodes, delta, decidesQuotas } = digest
  const changes = delta.changes?.map(({ key, value, isValueOmitted, modRevision, isByRestore }): WireChange => {
    const sentValue = isValueOmitted === true ? omittedValue : value ?? null
    return isByRestore === true ? [key, sentValue, modRevision, 1] : [key, sentValue, modRevision]
  })
  const message: WireDigest = ['digest', node, bootId, isDraining, nodes, delta.revision, delta.reachableForMs ?? unreachable, changes ?? null, activity === undefined ? null : encodeActivity(activity), decidesQuotas, delta.contentAgeMs === undefined ? null : Math.ceil(delta.contentAgeMs)]
  return encode(message)
}

function readRevision (value: unknown): number {
  if (!isRevision(value)) throw new TypeError('expected a revision')
  return value
}

/** Counts by name. */
function readCounts<Name extends string> (value: unknown): Map<Name, number> {
  return new Map(readList(value, item => {
    const [name, count] = readFields(item)
    return [readText(name) as Name, readNumber(count)]
  }))
}

function decodeReport ([, node, bootId, sequence, isDraining, wantsDigest, revision, activity, usage, workMs, evidence, digestSource, grants]: readonly unknown[]): NodeReport {
  return {
    node: toId<NodeId>(readText(node)),
    bootId: readText(bootId),
    sequence: readNumber(sequence),
    isDraining: readBoolean(isDraining),
    wantsDigest: readBoolean(wantsDigest),
    digestSource: readOptional(digestSource, source => toId<NodeId>(readText(source))),
    revision: readRevision(revision),
    ...decodeActivity(activity),
    usage: new Map(readList(usage, item => {
      const [window, counts] = readFields(item)
      return [readNumber(window), readCounts<TeamId>(counts)]
    })),
    workMs: readCounts(workMs),
    evidence,
    quotaGrants: readOptional(grants, decodeGrants)
  }
}

function decodeGrants (wire: unknown): QuotaGrants {
  return new Map(readList(wire, grant => {
    const [collectorBootId, byTeam] = readFields(grant)
    return [readText(collectorBootId), new Map(readList(byTeam, item => {
      const [team, quota, tolerance] = readFields(item)
      return [toId<TeamId>(readText(team)), { quota: readAmount(quota), tolerance: readAmount(tolerance) }]
    }))]
  }))
}

/** A negative amount would give a team tokens. */
function readAmount (value: unknown): number {
  const amount = readNumber(value)
  if (amount < 0) throw new TypeError('expected an amount of at least 0')
  return amount
}

export function encodeQuotaRequest ({ node, bootId, number, team, tokens }: QuotaRequest): Buffer {
  const message: WireQuotaRequest = ['quota-request', quotaVersion, node, bootId, number, team, tokens]
  return encode(message)
}

export function encodeQuotaDecision ({ bootId, requesterBootId, number, granted, waitMs }: QuotaDecision): Buffer {
  const message: WireQuotaDecision = ['quota-decision', quotaVersion, bootId, requesterBootId, number, granted.quota, granted.tolerance, waitMs ?? null]
  return encode(message)
}

function readQuotaVersion (version: unknown): void {
  if (version !== quotaVersion) throw new Error('quota message has an unknown version')
}

function decodeQuotaRequest ([, version, node, bootId, number, team, tokens]: readonly unknown[]): QuotaRequest {
  readQuotaVersion(version)
  return { node: toId<NodeId>(readText(node)), bootId: readText(bootId), number: readNumber(number), team: toId<TeamId>(readText(team)), tokens: readAmount(tokens) }
}

function decodeQuotaDecision ([, version, bootId, requesterBootId, number, quota, tolerance, waitMs]: readonly unknown[]): QuotaDecision {
  readQuotaVersion(version)
  return { bootId: readText(bootId), requesterBootId: readText(requesterBootId), number: readNumber(number), granted: { quota: readAmount(quota), tolerance: readAmount(tolerance) }, waitMs: readOptional(waitMs, readAmount) }
}

function decodeChange (wire: unknown): DeltaChange {
  const [key, value, modRevision, isByRestore] = readFields(wire)
  return {
    key: readText(key),
    value: typeof value === 'string' ? value : undefined,
    modRevision: readRevision(modRevision),
    ...(value === omittedValue ? { isValueOmitted: true } : {}),
    ...(isByRestore === 1 ? { isByRestore: true } : {})
  }
}

function decodeDigest ([, node, bootId, isDraining, nodes, revision, reachableForMs, changes, activity, decidesQuotas, contentAgeMs]: readonly unknown[]): NodeDigest {
  return {
    node: toId<NodeId>(readText(node)),
    bootId: readText(bootId),
    isDraining: readBoolean(isDraining),
    nodes: readNumber(nodes),
    delta: {
      revision: readRevision(revision),
      reachableForMs: reachableForMs === unreachable ? undefined : readNumber(reachableForMs),
      contentAgeMs: readOptional(contentAgeMs, readAmount),
      changes: readOptional(changes, all => readList(all, decodeChange))
    },
    activity: readOptional(activity, decodeActivity),
    decidesQuotas: readOptional(decidesQuotas, readBoolean) ?? false
  }
}

/** A decoded datagram. */
export type Message = { report: NodeReport } | { digest: NodeDigest } | { quotaRequest: QuotaRequest } | { quotaDecision: QuotaDecision }

/** Decodes a datagram; throws on one of an unknown kind, or with a value of another kind. */
export function decodeMessage (bytes: Buffer): Message {
  const message = readFields(decode(bytes))
  if (message[0] === 'report') return { report: decodeReport(message) }
  if (message[0] === 'digest') return { digest: decodeDigest(message) }
  if (message[0] === 'quota-request') return { quotaRequest: decodeQuotaRequest(message) }
  if (message[0] === 'quota-decision') return { quotaDecision: decodeQuotaDecision(message) }
  throw new Error('datagram is of an unknown kind')
}
