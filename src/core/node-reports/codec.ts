/** Encoding of the datagrams: compact CBOR arrays, because each should fit into one packet. */
import { decode, encode } from 'cbor-x'
import { decodeLimits, encodeLimits } from '../backend-limits/index.ts'
import { toId } from '../ids/index.ts'
import { decodeQuarantineReport, encodeQuarantineReport } from '../quarantine/index.ts'
import type { WireLimits } from '../backend-limits/index.ts'
import type { BackendId, NodeId, TeamId } from '../ids/index.ts'
import type { WireQuarantine } from '../quarantine/index.ts'
import type { Activity, NodeDigest, NodeReport } from './types.ts'

type WireActivity = [quota: Array<[team: string, quota: number, tolerance: number, asked?: number]>, loads: Array<[string, number, number]>, prefixes: Array<[string, string[]]>, suspects?: Array<[backend: string, suspecting: number, hearing: number]>, levels?: Array<[team: string, quota: number, tolerance: number]> | null, leaving?: Array<[backend: string, startedAtMs: number | null]>, prompts?: WireQuarantine, limits?: WireLimits | null]
type WireChange = [key: string, value: string | null | 0, modRevision: number, isByRestore?: 1]
type WireReport = ['report', string, string, number, boolean, boolean, number, WireActivity, Array<[number, Array<[string, number]>]>, Array<[string, number]>, unknown, (string | null)?]
type WireDigest = ['digest', string, string, boolean, number, number, number, WireChange[] | null, WireActivity | null]

/** Placeholder for the value of a change that is too large for a datagram. */
const omittedValue = 0
/** Placeholder for `reachableForMs` while the key-value service doesn't respond to the collector. */
const unreachable = -1

function encodeActivity ({ quotaUsage, loads, prefixes, suspects, quotaLevels, leaving = new Map(), prompts, limits }: Activity): WireActivity {
  return [
    [...quotaUsage].map(([team, { quota, tolerance, asked }]) => [team, Math.round(quota), Math.round(tolerance), asked]),
    [...loads].map(([backend, load]) => [backend, load.requests, Math.round(load.pendingTokens)]),
    prefixes.map(({ backend, hashes }) => [backend, hashes]),
    [...suspects].map(([backend, { suspecting, hearing }]) => [backend, suspecting, hearing]),
    quotaLevels === undefined ? null : [...quotaLevels].map(([team, { quota, tolerance }]) => [team, Math.round(quota), Math.round(tolerance)]),
    [...leaving].map(([backend, startedAtMs]) => [backend, startedAtMs ?? null]),
    encodeQuarantineReport(prompts),
    encodeLimits(limits)
  ]
}

function decodeActivity ([quota, loads, prefixes, suspects = [], levels, leaving = [], prompts, limits]: WireActivity): Activity {
  return {
    quotaUsage: new Map(quota.map(([team, fromQuota, tolerance, asked = fromQuota + tolerance]) => [toId<TeamId>(team), { quota: fromQuota, tolerance, asked }])),
    loads: new Map(loads.map(([backend, requests, pendingTokens]) => [toId<BackendId>(backend), { requests, pendingTokens }])),
    prefixes: prefixes.map(([backend, hashes]) => ({ backend: toId<BackendId>(backend), hashes })),
    suspects: new Map(suspects.map(([backend, suspecting, hearing]) => [toId<BackendId>(backend), { suspecting, hearing }])),
    prompts: decodeQuarantineReport(prompts),
    limits: decodeLimits(limits),
    leaving: new Map(leaving.map(([backend, startedAtMs]) => [toId<BackendId>(backend), startedAtMs ?? undefined])),
    quotaLevels: levels === undefined || levels === null ? undefined : new Map(levels.map(([team, quota, tolerance]) => [toId<TeamId>(team), { quota, tolerance }]))
  }
}

export function encodeReport (report: NodeReport): Buffer {
  const { node, bootId, sequence, isDraining, wantsDigest, revision, usage, workMs, evidence } = report
  const message: WireReport = [
    'report', node, bootId, sequence, isDraining, wantsDigest, revision, encodeActivity(report),
    [...usage].map(([window, counts]) => [window, [...counts]]),
    [...workMs].map(([service, sumMs]) => [service, Math.round(sumMs)]),
    evidence,
    report.digestSource ?? null
  ]
  return encode(message)
}

export function encodeDigest (digest: NodeDigest): Buffer {
  const { node, bootId, isDraining, nodes, delta, activity } = digest
  const changes = delta.changes?.map(({ key, value, isValueOmitted, modRevision, isByRestore }): WireChange => {
    const sentValue = isValueOmitted === true ? omittedValue : value ?? null
    return isByRestore === true ? [key, sentValue, modRevision, 1] : [key, sentValue, modRevision]
  })
  const message: WireDigest = ['digest', node, bootId, isDraining, nodes, delta.revision, delta.reachableForMs ?? unreachable, changes ?? null, activity === undefined ? null : encodeActivity(activity)]
  return encode(message)
}

function decodeReport ([, node, bootId, sequence, isDraining, wantsDigest, revision, activity, usage, workMs, evidence, digestSource]: WireReport): NodeReport {
  return {
    node: toId<NodeId>(node),
    bootId,
    sequence,
    isDraining,
    wantsDigest,
    digestSource: digestSource === null || digestSource === undefined ? undefined : toId<NodeId>(digestSource),
    revision,
    ...decodeActivity(activity),
    usage: new Map(usage.map(([window, counts]) => [window, new Map(counts.map(([team, count]) => [toId<TeamId>(team), count]))])),
    workMs: new Map(workMs),
    evidence
  }
}

function decodeDigest ([, node, bootId, isDraining, nodes, revision, reachableForMs, changes, activity]: WireDigest): NodeDigest {
  return {
    node: toId<NodeId>(node),
    bootId,
    isDraining,
    nodes,
    delta: {
      revision,
      reachableForMs: reachableForMs === unreachable ? undefined : reachableForMs,
      changes: changes?.map(([key, value, modRevision, isByRestore]) => ({
        key,
        value: typeof value === 'string' ? value : undefined,
        modRevision,
        ...(value === omittedValue ? { isValueOmitted: true } : {}),
        ...(isByRestore === 1 ? { isByRestore: true } : {})
      }))
    },
    activity: activity === null ? undefined : decodeActivity(activity)
  }
}

/** Decodes a datagram; throws on one that is neither a report nor a digest. */
export function decodeMessage (bytes: Buffer): { report: NodeReport } | { digest: NodeDigest } {
  const message = decode(bytes) as WireReport | WireDigest
  if (message[0] === 'report') return { report: decodeReport(message) }
  if (message[0] === 'digest') return { digest: decodeDigest(message) }
  throw new Error('datagram is neither a report nor a digest')
}
