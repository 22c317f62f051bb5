/** Lets the nodes tell one another, over the peer network, which backend servers limit their requests, and divides the limits among them. */
import { createBackendLimits, decodeLimits, encodeLimits } from '../backend-limits/index.ts'
import { sample } from '../membership/prober.ts'
import type { BackendLimits, LimitedBackend, LimitReport, WireLimits } from '../backend-limits/index.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Membership, PeerNetwork } from '../peers/types.ts'
import type { Metrics } from '../metrics/index.ts'

/** Options of the exchange. */
export interface LimitsExchangeOptions {
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
  /** Maps a text to a number in [0, 1), equal on every node. */
  draw: (text: string) => number
  network: PeerNetwork
  membership: Membership
  backendOf: (id: BackendId) => LimitedBackend | undefined
}

/** The limits of a node with their exchange. */
export interface LimitsExchange {
  limits: BackendLimits
  close: () => void
}

const reportKind = 'limits/report'
const reportIntervalMs = 500
/** Receivers of one report; in a larger cluster they are drawn anew each time, and pass limits on. */
const maxReceivers = 64
/** Time for which a node that is no longer live counts as one that may be cut off and still send. */
const maybeAliveMs = 60_000
/** Age up to which a node's reported demand is current. */
const maxDemandAgeMs = 15_000

/** Creates the limits of a node and starts to exchange reports. */
export function createLimitsExchange (options: LimitsExchangeOptions): LimitsExchange {
  const { clock, network, membership, random } = options
  const closed = new AbortController()
  const lastLiveAtMs = new Map<NodeId, number>()
  const reported = new Map<NodeId, { demands: ReadonlyMap<string, number>, receivedAtMs: number }>()
  let others: Array<{ node: NodeId }> = []

  function updateOthers (): void {
    const nowMs = clock.monotonicMs()
    for (const { node } of membership.peers()) lastLiveAtMs.set(node, nowMs)
    for (const [node, atMs] of lastLiveAtMs) if (atMs < nowMs - maybeAliveMs) lastLiveAtMs.delete(node)
    const isSame = others.length === lastLiveAtMs.size && others.every(({ node }) => lastLiveAtMs.has(node))
    if (!isSame) others = [...lastLiveAtMs.keys()].map(node => ({ node }))
  }

  /** The demand of the live nodes; one that hasn't reported lately is assumed to be asked as much as this one. */
  function reportedDemands (): Map<NodeId, ReadonlyMap<string, number>> {
    const oldestAtMs = clock.monotonicMs() - maxDemandAgeMs
    const own = limits.report().demands
    return new Map(membership.peers().map(({ node }) => {
      const report = reported.get(node)
      return [node, report === undefined || report.receivedAtMs < oldestAtMs ? own : report.demands]
    }))
  }

  const limits = createBackendLimits({
    ...options,
    node: membership.self.node,
    otherNodes: () => others,
    reportedDemands,
    getsAllReports: () => true
  })

  function sendReport (report: LimitReport): void {
    if (report.limits.length === 0 && report.demands.size === 0) return
    const body = encodeLimits(report)
    const peers = membership.peers()
    for (const peer of peers.length <= maxReceivers ? peers : sample(peers, maxReceivers, random)) network.send(peer, reportKind, body)
  }

  async function run (): Promise<void> {
    while (!closed.signal.aborted) {
      updateOthers()
      sendReport(limits.report())
      await clock.sleep(reportIntervalMs, closed.signal)
    }
  }

  network.handle(reportKind, (from, body) => {
    const report = decodeLimits(body as WireLimits)
    if (report === undefined) return
    reported.set(from, { demands: report.demands, receivedAtMs: clock.monotonicMs() })
    limits.mergeLimits(report.limits)
  })
  membership.onChange(updateOthers)
  run()
  return { limits, close: () => closed.abort() }
}
