/**
 * Divides the limit of a cold backend server among nodes. The division depends on the registered
 * nodes only, not on messages: within one second there is no room for views of the demand that
 * differ, and a node that hears no other has the same share as before.
 */
import type { PermitRate } from './permits.ts'
import type { BackendLimitsOptions, ColdLimit, ColdOptions } from './types.ts'

/** Options of the shares. */
export interface ColdSharesOptions extends Pick<BackendLimitsOptions, 'clock' | 'node' | 'draw' | 'otherNodes'>, Pick<ColdOptions, 'overrunRatio' | 'slackCount'> {}

/** This node's shares of the limits of cold backend servers. */
export interface ColdShares {
  /** Must be called several times a second, so that changes of the registered nodes are noticed when they arrive. */
  update: () => void
  /** Changes whenever a share may have changed. */
  version: () => number
  /** What this node may send to a backend server; undefined if it may send nothing. */
  shareOf: (backend: string, limit: ColdLimit) => PermitRate | undefined
}

/** The rule counts requests in any window of one second. */
const windowSeconds = 1
/** Part of what the rule allows that is used; the rest is for requests that were sent apart and arrive together. */
const usedRatio = 0.95
/** Time within which all connected nodes have learned of a change of the registered nodes. */
const nodeListDelayMs = 2_000

/** How the limit of a cold backend server is divided. */
export interface ColdDivision {
  /** Requests a second of all nodes together. */
  perSecond: number
  /** Requests that all nodes together may send at once. */
  burst: number
  /** Most nodes that may send; each needs a burst of one. */
  maxSenders: number
}

/** Returns the division for which bursts and rate of all nodes together stay below what the rule allows in a window. */
export function divideColdLimit ({ perSecond }: Pick<ColdLimit, 'perSecond'>, { overrunRatio, slackCount }: Pick<ColdOptions, 'overrunRatio' | 'slackCount'>): ColdDivision {
  const usable = Math.max(0, usedRatio * (perSecond * overrunRatio + slackCount))
  // With a small tolerance the rate is lowered, as one node at least needs a burst of one.
  const usedPerSecond = Math.min(perSecond, Math.max(0, usable - 1) / windowSeconds)
  const burst = usable - usedPerSecond * windowSeconds
  return { perSecond: usedPerSecond, burst, maxSenders: Math.floor(burst) }
}

/** The registered nodes as a ring that is the same on every node with the same list. */
interface NodeRing {
  others: ReadonlyArray<unknown>
  /** Positions of all nodes, in order. */
  positions: Float64Array
  ownIndex: number
  /** Monotonic time until which an earlier list counts. */
  untilMs: number
}

/** Index of the first position that isn't before another one. */
function lowerBound (positions: Float64Array, position: number): number {
  let low = 0
  let high = positions.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((positions[middle] ?? 0) < position) low = middle + 1
    else high = middle
  }
  return low
}

/** Whether this node is among the first ones that follow a position of the ring. */
function isSender ({ positions, ownIndex }: NodeRing, position: number, maxSenders: number): boolean {
  const rank = ownIndex - lowerBound(positions, position) + positions.length
  return rank % positions.length < maxSenders
}

/** Creates the shares of one node. */
export function createColdShares ({ clock, node, draw, otherNodes, overrunRatio, slackCount }: ColdSharesOptions): ColdShares {
  let current: NodeRing | undefined
  /** Lists of the past two seconds. */
  let earlier: NodeRing[] = []
  /** Time from which this node knows the list for long enough; -Infinity once it has passed. */
  let sendsFromMs = Infinity
  let drawn = new Map<string, number>()
  let changeCount = 0

  function createRing (others: ReturnType<typeof otherNodes>): NodeRing {
    const draws = new Map<string, number>()
    for (const id of [node, ...others.map(other => other.node)]) draws.set(id, drawn.get(id) ?? draw(`cold-sender/${id}`))
    drawn = draws
    const positions = Float64Array.from(draws.values()).sort()
    return { others, positions, ownIndex: lowerBound(positions, draws.get(node) ?? 0), untilMs: Infinity }
  }

  function update (): void {
    const nowMs = clock.monotonicMs()
    const others = otherNodes()
    if (current?.others !== others) {
      if (current === undefined) sendsFromMs = nowMs + nodeListDelayMs
      else earlier.push({ ...current, untilMs: nowMs + nodeListDelayMs })
      current = createRing(others)
      changeCount += 1
    }
    if (sendsFromMs !== -Infinity && nowMs >= sendsFromMs) {
      sendsFromMs = -Infinity
      changeCount += 1
    }
    if ((earlier[0]?.untilMs ?? Infinity) > nowMs) return
    earlier = earlier.filter(({ untilMs }) => untilMs > nowMs)
    changeCount += 1
  }

  /**
   * Nodes learn of a change of the list at different times. Each sends only if it is a sender by all lists of
   * the past two seconds, with the smallest share; one of these lists is the same on all connected nodes.
   */
  function shareOf (backend: string, limit: ColdLimit): PermitRate | undefined {
    if (current === undefined || sendsFromMs !== -Infinity) return undefined
    const rings = [...earlier, current]
    const { perSecond, burst, maxSenders } = divideColdLimit(limit, { overrunRatio, slackCount })
    const position = draw(`cold-server/${backend}`)
    if (rings.some(ring => !isSender(ring, position, maxSenders))) return undefined
    const senders = Math.min(maxSenders, Math.max(...rings.map(({ positions }) => positions.length)))
    return { perSecond: perSecond / senders, burst: burst / senders }
  }

  return { update, version: () => changeCount, shareOf }
}
