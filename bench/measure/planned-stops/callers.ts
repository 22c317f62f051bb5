/** Callers, each of which sends one request after another, and what the requests of a kind are. */
import { between, exponential, weighted } from '../random-draws.ts'
import type { EntryNode } from './entry-node.ts'
import type { Random } from '../../../src/core/random/index.ts'
import type { TrafficKind } from './policies.ts'

/** A connection that a caller keeps. */
export interface KeptConnection {
  node: EntryNode
  /** That of the node when the connection was opened; the connection ends with it. */
  life: number
  isBusy: boolean
}

/** A caller; a request that is due while another one is open goes over a connection of its own. */
export interface Caller {
  kind: TrafficKind
  domain: number
  /** Nodes in the order in which the balancer chooses for this caller. */
  order: readonly EntryNode[]
  keepsConnection: boolean
  /** Whether it tries again at once whatever Retry-After says. */
  isImpatient: boolean
  /** Mean time from one request to the next. */
  meanGapMs: number
  /** When its next request is due. */
  dueAtMs: number
  random: Random
  connection: KeptConnection | undefined
}

/** A request of a caller, over all its tries. */
export interface CallerRequest {
  caller: Caller
  sentAtMs: number
  deadlineAtMs: number
  /** When it is sent next. */
  nextAtMs: number
  tries: number
  refusals: number
  tried: Set<EntryNode>
  /** The kept connection that carries it, if any. */
  connection: KeptConnection | undefined
  /** Events still wanted; 0 for calls. */
  eventCount: number
  /** Maximum tokens that it names; undefined if it names none. */
  answerTokens: number | undefined
  /** Whether it counts in the result. */
  isMeasured: boolean
}

const kinds: ReadonlyArray<{ kind: TrafficKind, weight: number }> = [
  { kind: 'stream', weight: 0.3 },
  { kind: 'short-stream', weight: 0.15 },
  { kind: 'resumable-stream', weight: 0.15 },
  { kind: 'repeatable-call', weight: 0.25 },
  { kind: 'at-most-once-call', weight: 0.15 }
]
const deadlinesMs: Record<TrafficKind, readonly [number, number]> = {
  stream: [15_000, 15_000],
  'short-stream': [6_000, 6_000],
  'resumable-stream': [15_000, 15_000],
  'repeatable-call': [2_000, 5_000],
  'at-most-once-call': [2_000, 5_000]
}
const eventCounts: Partial<Record<TrafficKind, readonly [number, number]>> = { stream: [5, 216], 'short-stream': [5, 91], 'resumable-stream': [5, 216] }
const keepingRatio = 0.8
const impatientRatio = 0.2
/** For busy and other callers; the latter use kept connections late in a stop. */
const meanGapsMs = [1_500, 4_000]

function shuffled<T> (random: Random, items: readonly T[]): T[] {
  return items.map(item => ({ item, draw: random() })).toSorted((a, b) => a.draw - b.draw).map(({ item }) => item)
}

/** Creates a caller, who begins within the first two seconds; its requests are the same whatever becomes of them. */
export function createCaller (random: Random, nodes: readonly EntryNode[], domainCount: number): Caller {
  return {
    kind: kinds[weighted(random, kinds.map(({ weight }) => weight))]!.kind,
    domain: between(random, 0, domainCount - 1),
    order: shuffled(random, nodes),
    keepsConnection: random() < keepingRatio,
    isImpatient: random() < impatientRatio,
    meanGapMs: meanGapsMs[between(random, 0, 1)]!,
    dueAtMs: random() * 2_000,
    random,
    connection: undefined
  }
}

/** Draws the events of a stream, short ones more often; 0 for calls. */
export function drawEventCount (random: Random, kind: TrafficKind): number {
  const [min, max] = eventCounts[kind] ?? [0, 0]
  return max === 0 ? 0 : Math.round(min * (max / min) ** random())
}

/** Maximum tokens that a stream with these events names; those of the first kind name none. */
export function drawAnswerTokens (random: Random, kind: TrafficKind, eventCount: number): number | undefined {
  const tokens = Math.ceil(eventCount * (1 + 0.3 * random()))
  return kind === 'short-stream' || kind === 'resumable-stream' ? tokens : undefined
}

/** Draws the request that is due, and when the next one is. */
export function createRequest (caller: Caller, nowMs: number, isMeasured: boolean): CallerRequest {
  const { random, kind, meanGapMs } = caller
  const eventCount = drawEventCount(random, kind)
  const answerTokens = drawAnswerTokens(random, kind, eventCount)
  const [min, max] = deadlinesMs[kind]
  const deadlineAtMs = nowMs + min + (max - min) * random()
  caller.dueAtMs += exponential(random, meanGapMs)
  return { caller, sentAtMs: nowMs, deadlineAtMs, nextAtMs: nowMs, tries: 0, refusals: 0, tried: new Set(), connection: undefined, eventCount, answerTokens, isMeasured }
}
