/** What a stopping node may do with requests, and what it may tell the callers of those that it refuses. */
import type { RequestKind } from '../../../src/core/gateway/index.ts'
import type { Random } from '../../../src/core/random/index.ts'

/** A kind of request; each has a route of its own. */
export type TrafficKind = 'stream' | 'short-stream' | 'resumable-stream' | 'repeatable-call' | 'at-most-once-call'

/** What a stopping node knows when it decides on a request. */
export interface StopView {
  /** Since its signal. */
  elapsedMs: number
  /** Until its own end, at most. */
  untilEndMs: number
  fleet: OtherNodes
  /** Of its failure domain. */
  domain: OtherNodes
  /** Until the balancer has noticed that no node of the domain is ready, if so; at most. */
  untilDomainIsOutMs: number
  /** What the product says, by what it knows. */
  builtRetryMs: number
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

/** What a stopping node takes: what may not be cut must fit in by its deadline, all else by the gate's estimate. */
export interface GatePolicy {
  name: string
  /** From this time after the signal on, a stream that is taken must not be cut. */
  streamsCompleteAfterMs: number
  /** Whether another request must not be cut; calls that may run once only must never be. */
  mustComplete: (kind: TrafficKind, view: StopView) => boolean
}

/** What the Retry-After of a stopping node says, in ms. */
export interface RetryPolicy {
  name: string
  retryAfterMs: (view: StopView, random: Random) => number
}

/** As in the product. */
const streamsCompleteAfterMs = 2_500
const shortRetryMs = 100
const builtJitter = 0.25

export function isStream (kind: TrafficKind): boolean {
  return kind === 'stream' || kind === 'short-stream' || kind === 'resumable-stream'
}

/** The kind by which the gate decides. */
export function gateKindOf (kind: TrafficKind, mustComplete: boolean): RequestKind {
  if (kind === 'at-most-once-call' || mustComplete) return 'at-most-once'
  return isStream(kind) ? 'stream' : 'repeatable'
}

const never = (): boolean => false

export const gatePolicies: readonly GatePolicy[] = [
  { name: 'estimate', streamsCompleteAfterMs: Infinity, mustComplete: never },
  { name: 'late streams', streamsCompleteAfterMs, mustComplete: never },
  { name: 'late streams and calls', streamsCompleteAfterMs, mustComplete: (_kind, { elapsedMs }) => elapsedMs >= streamsCompleteAfterMs },
  { name: 'all streams', streamsCompleteAfterMs: 0, mustComplete: never },
  { name: 'all streams if another serves', streamsCompleteAfterMs, mustComplete: (kind, { fleet }) => isStream(kind) && fleet.servingCount > 0 },
  { name: 'all streams if half serve', streamsCompleteAfterMs, mustComplete: (kind, { fleet }) => isStream(kind) && fleet.servingCount > 0 && fleet.servingCount >= fleet.count / 2 }
]

/** The policy of the product. */
export const builtGate = 'late streams'

/** Until a node serves to which the balancer sends callers of this domain: one of the domain, or one elsewhere once all of the domain are out of rotation. */
function domainOrRotationMs ({ domain, fleet, untilDomainIsOutMs }: StopView): number {
  if (domain.servingCount > 0) return shortRetryMs
  return Math.max(shortRetryMs, Math.min(domain.untilFirstBackMs, fleet.servingCount > 0 ? untilDomainIsOutMs : Infinity))
}

export const retryPolicies: readonly [RetryPolicy, ...RetryPolicy[]] = [
  { name: '0.1 s', retryAfterMs: () => shortRetryMs },
  { name: '1 s', retryAfterMs: () => 1_000 },
  { name: 'random until the end', retryAfterMs: ({ untilEndMs }, random) => shortRetryMs + random() * Math.max(0, untilEndMs - shortRetryMs) },
  { name: 'first back anywhere', retryAfterMs: ({ fleet }) => fleet.servingCount > 0 ? shortRetryMs : Math.max(shortRetryMs, fleet.untilFirstBackMs) },
  { name: 'first back in domain', retryAfterMs: ({ domain }) => domain.servingCount > 0 ? shortRetryMs : Math.max(shortRetryMs, domain.untilFirstBackMs) },
  { name: 'next back unless half serve', retryAfterMs: ({ fleet }) => fleet.servingCount >= fleet.count / 2 ? shortRetryMs : Math.max(shortRetryMs, fleet.untilNextBackMs) },
  { name: 'domain or rotation', retryAfterMs: domainOrRotationMs },
  { name: 'as built', retryAfterMs: ({ builtRetryMs }, random) => builtRetryMs * (1 + builtJitter * random()) }
]
