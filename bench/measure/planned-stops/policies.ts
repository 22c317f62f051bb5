/** What a stopping node may do with requests, and what it may tell the callers of those that it refuses. */
import type { Random } from '../../../src/core/random/index.ts'

/** A kind of request; each has a route of its own. */
export type RequestKind = 'stream' | 'short-stream' | 'resumable-stream' | 'repeatable-call' | 'at-most-once-call'

/** What a stopping node knows when it decides on a request. */
export interface StopView {
  /** Since its signal. */
  elapsedMs: number
  /** Until its own end, at most. */
  untilEndMs: number
  fleet: OtherNodes
  /** Of its zone. */
  zone: OtherNodes
  /** Until the balancer has noticed that no node of the zone is ready, if so; at most. */
  untilZoneIsOutMs: number
}

/** Other nodes as far as reports tell. */
export interface OtherNodes {
  count: number
  servingCount: number
  /** Expected time until the first of them and this node serves; 0 if one does. */
  untilFirstBackMs: number
  /** The same of those that don't serve. */
  untilNextBackMs: number
}

/** Which requests of a stopping node are bounded by their deadline; the gate estimates the others. */
export interface GatePolicy {
  name: string
  isBoundByDeadline: (kind: RequestKind, view: StopView) => boolean
}

/** What the Retry-After of a stopping node says, in ms. */
export interface RetryPolicy {
  name: string
  retryAfterMs: (view: StopView, random: Random) => number
}

/** Time after the signal from which a stream that was taken may not be cut any more, less a margin. */
const boundedFromMs = 2_500
const shortRetryMs = 100

export function isStream (kind: RequestKind): boolean {
  return kind === 'stream' || kind === 'short-stream' || kind === 'resumable-stream'
}

function isLate ({ elapsedMs }: StopView): boolean {
  return elapsedMs >= boundedFromMs
}

/** Calls that may run once only are bounded by their deadline with all policies. */
function createGatePolicy (name: string, isBound: GatePolicy['isBoundByDeadline']): GatePolicy {
  return { name, isBoundByDeadline: (kind, view) => kind === 'at-most-once-call' || isBound(kind, view) }
}

/** Names as in docs/design/caller-connections.md. */
export const gatePolicies: readonly GatePolicy[] = [
  createGatePolicy('P0', () => false),
  createGatePolicy('P1', (kind, view) => isStream(kind) && isLate(view)),
  createGatePolicy('P1b', (_kind, view) => isLate(view)),
  createGatePolicy('P2', kind => isStream(kind)),
  createGatePolicy('P3', (kind, view) => isStream(kind) && (isLate(view) || view.fleet.servingCount > 0)),
  createGatePolicy('P3 half', (kind, view) => isStream(kind) && (isLate(view) || (view.fleet.servingCount > 0 && view.fleet.servingCount >= view.fleet.count / 2)))
]

/** Until a node serves to which the balancer sends callers of this zone: one of the zone, or one elsewhere once all of the zone are out of rotation. */
function zoneOrRotationMs ({ zone, fleet, untilZoneIsOutMs }: StopView): number {
  if (zone.servingCount > 0) return shortRetryMs
  return Math.max(shortRetryMs, Math.min(zone.untilFirstBackMs, fleet.servingCount > 0 ? untilZoneIsOutMs : Infinity))
}

export const retryPolicies: readonly RetryPolicy[] = [
  { name: '0.1 s', retryAfterMs: () => shortRetryMs },
  { name: '1 s', retryAfterMs: () => 1_000 },
  { name: 'spread', retryAfterMs: ({ untilEndMs }, random) => shortRetryMs + random() * Math.max(0, untilEndMs - shortRetryMs) },
  { name: 'first back', retryAfterMs: ({ fleet }) => fleet.servingCount > 0 ? shortRetryMs : Math.max(shortRetryMs, fleet.untilFirstBackMs) },
  { name: 'first back in zone', retryAfterMs: ({ zone }) => zone.servingCount > 0 ? shortRetryMs : Math.max(shortRetryMs, zone.untilFirstBackMs) },
  { name: 'by half', retryAfterMs: ({ fleet }) => fleet.servingCount >= fleet.count / 2 ? shortRetryMs : Math.max(shortRetryMs, fleet.untilNextBackMs) },
  { name: 'zone or rotation', retryAfterMs: zoneOrRotationMs }
]
