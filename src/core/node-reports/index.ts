/**
 * Reports between nodes over UDP. Each report is complete in itself, so a lost one
 * only delays the information, and there are no connections that could stall. In a
 * large cluster reports go to collectors, which respond with digests.
 */
import { createSocket } from 'node:dgram'
import { createCollectors } from './collectors.ts'
import { decodeMessage, encodeDigest, encodeReport } from './codec.ts'
import { createActivityTotals } from './activity-totals.ts'
import { maxPrefixesOf } from './prefix-limit.ts'
import type { RemoteInfo } from 'node:dgram'
import type { Clock } from '../clock/index.ts'
import type { LimitReport } from '../backend-limits/index.ts'
import type { NodeId } from '../ids/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { QuarantineReport } from '../quarantine/index.ts'
import type { ViewDelta } from '../store-view/index.ts'
import type { CollectorChoice } from './collectors.ts'
import type { Activity, NodeAddress, NodeDigest, NodeReport } from './types.ts'

export type * from './types.ts'
export { createCollectors } from './collectors.ts'
export { createActivityTotals } from './activity-totals.ts'
export { fetchNewerView, serveView } from './view-server.ts'

/** Options of the report exchange. */
export interface NodeReportsOptions {
  host: string
  port: number
  node: NodeId
  /** Bandwidth of this node's network link in Mbit/s. */
  linkMbps: number
  clock: Clock
  log: Log
  metrics: Metrics
  /** Maps a text to a number in [0, 1), equal on every node. */
  draw: (text: string) => number
  /** The other registered nodes. */
  peers: () => NodeAddress[]
  /** The node whose duties need all reports. */
  dutyHolder: () => NodeId | undefined
  /** Collects the content of this node's report. */
  collectReport: () => Omit<NodeReport, 'node' | 'bootId' | 'sequence' | 'wantsDigest' | 'digestSource'>
  /** What a collector knows from all other nodes about prompts that may crash backend servers. */
  promptsFor: (node: NodeId) => QuarantineReport
  /** What a collector knows from all other nodes about the limits of backend servers, with the node's shares of them; a new receiver may not know any. */
  limitsFor: (node: NodeId, isNewReceiver: boolean) => LimitReport
  /** Called with each report of another node. */
  onReport: (report: NodeReport) => void
  /**
   * Called with the activity of one other node, or with a collector's totals of all
   * other nodes. With `isFirst` this node has no earlier activity of the source, so its
   * usage may have been counted from another source, or before this node started.
   */
  onActivity: (source: NodeId, bootId: string, activity: Activity, isFirst: boolean) => void
  /** Called when a source of activity stops reporting or is no longer used. */
  onSilent: (source: NodeId) => void
  /** The changes at the key-value service after a revision. */
  deltaAfter: (revision: number) => ViewDelta
  /** Called with the delta in each received digest. */
  onDelta: (delta: ViewDelta) => void
  /** Id of this start of the node's process. */
  bootId: string
}

/** The report exchange of one node. */
export interface NodeReports {
  /** Binds the port and starts to send reports; rejects if the port can't be bound. */
  start: () => Promise<void>
  /** Nodes that report to this one. */
  reportingNodes: () => NodeId[]
  /** Number of other nodes whose activity is known here. */
  knownNodeCount: () => number
  /** Whether this node gets the reports of all others itself, and doesn't depend on a collector's digests. */
  getsAllReports: () => boolean
  /** Time after which what one node has found out is known to all others, despite the loss of one report. */
  evidenceDelayMs: () => number
  /** Number of other nodes whose activity is as recent as a lost report or two allow. */
  currentNodeCount: () => number
  /** The current reports of other nodes that don't use the digests of another collector. */
  ownReports: () => NodeReport[]
  /** The last report of a node, if it reported recently. */
  lastReport: (node: NodeId) => NodeReport | undefined
  /** The collectors to which this node reports. */
  collectors: () => NodeId[]
  /** Whether this node receives the reports of all reachable nodes. */
  isCollector: () => boolean
  /** Whether a collector that can reach the key-value service has sent a digest recently. */
  hasPeerUpdates: () => boolean
  /** Whether nodes report to collectors, so that each learns of the others' activity late. */
  usesCollectors: () => boolean
  /** Mean age in ms of the other nodes' activity as this node knows it. */
  activityAgeMs: () => number
  /** Sends a report immediately, for example before the node stops. */
  sendReport: () => void
  /** Sends a report within some 20 ms instead of at the next interval. */
  sendSoon: () => void
  close: () => void
}

/** Interval between reports; limits the age of what other nodes know. A collector with a third of a CPU core can process those of hundreds of nodes. */
const reportIntervalMs = 200
/** Shortest time between two reports that are sent ahead of the interval. */
const minReportIntervalMs = 20
/** Number of intervals without a report after which a node counts as silent; some datagrams are lost. */
const maxMissedIntervals = 7
/** Age up to which activity is current: a node that was cut off notices it after so long. Through a collector, a lost report and a lost digest both delay it. */
const maxCurrentAgeMs = 3 * reportIntervalMs
const maxCurrentDigestAgeMs = 5 * reportIntervalMs
/** Number of reports of a node since its start, and time after a collector's first digest, for which quota levels are sent to it. */
const reportsWithLevels = 10
const levelsAfterNewSourceMs = reportsWithLevels * reportIntervalMs
/** Maximum age of a collector's last delta for which this node needs no watch of its own; several report intervals. */
const maxDeltaAgeMs = 2_000

/** Creates the report exchange; `start` binds its port. */
export function createNodeReports (options: NodeReportsOptions): NodeReports {
  const { clock, log, metrics, node, bootId } = options
  const socket = createSocket('udp4')
  const closed = new AbortController()
  const reportsByNode = new Map<NodeId, { report: NodeReport, receivedAtMs: number }>()
  const collectors = createCollectors({ node, linkMbps: options.linkMbps, clock, draw: options.draw })
  const totals = createActivityTotals({ clock, maxPrefixes: () => maxPrefixesOf(options.linkMbps, reportsByNode.size, reportIntervalMs) })
  let choice: CollectorChoice = collectors.choose([], undefined)
  let digest: { nodes: number, receivedAtMs: number } | undefined
  let lastDeltaAtMs = -Infinity
  /** Sources whose activity was applied since the digest source last changed. */
  const countedSources = new Set<NodeId>()
  const collectorBoots = new Map<NodeId, string>()
  /** Monotonic time until which reports include quota levels, because a receiver may have just started. */
  let levelsUntilMs = 0
  let ownReport: NodeReport | undefined
  let sequence = 0
  let lastReportAtMs = -Infinity
  let isSendingSoon = false

  function sendDatagram (kind: 'report' | 'digest', bytes: Buffer, port: number, host: string): void {
    metrics.count('node_reports_sent_total', { kind })
    metrics.count('node_reports_sent_bytes_total', { kind }, bytes.length)
    socket.send(bytes, port, host, error => {
      if (error !== null) metrics.count('node_reports_unsent_total')
    })
  }

  /** Sets the choice. If the digest source changes, activity from the previous sources is discarded. */
  function applyChoice (next: CollectorChoice): void {
    const before = choice.digestSource
    choice = next
    if (before === next.digestSource) return
    log('collectorChosen', { collector: next.digestSource ?? node, before: before ?? node, heard: reportsByNode.size })
    digest = undefined
    countedSources.clear()
    for (const source of before === undefined ? reportsByNode.keys() : [before]) options.onSilent(source)
  }

  function sendReport (): void {
    const peers = options.peers()
    const holder = options.dutyHolder()
    applyChoice(collectors.choose(peers, holder === node ? undefined : holder))
    sequence += 1
    lastReportAtMs = clock.monotonicMs()
    const report: NodeReport = { ...options.collectReport(), node, bootId, sequence, wantsDigest: choice.usesCollectors, digestSource: choice.digestSource ?? node }
    ownReport = report
    const targets = new Set([...choice.everyReport, ...(sequence % 2 === 0 ? choice.everySecondReport : [])])
    if (choice.usesCollectors) totals.record(node, bootId, report)
    if (targets.size === 0) return
    const bytes = encodeReport(clock.monotonicMs() < levelsUntilMs ? report : { ...report, quotaLevels: undefined })
    for (const { node: peer, host, reportPort } of peers) {
      if (!targets.has(peer)) continue
      if (choice.usesCollectors) collectors.onReportSent(peer)
      sendDatagram('report', bytes, reportPort, host)
    }
  }

  function applyActivity (source: NodeId, sourceBootId: string, activity: Activity): void {
    const isFirst = !countedSources.has(source)
    countedSources.add(source)
    options.onActivity(source, sourceBootId, activity, isFirst)
  }

  function isStale (report: NodeReport): boolean {
    const before = reportsByNode.get(report.node)?.report
    return before !== undefined && before.bootId === report.bootId && before.sequence >= report.sequence
  }

  function handleReport (report: NodeReport, from: RemoteInfo): void {
    if (report.node === node || isStale(report)) return
    const before = reportsByNode.get(report.node)?.report
    if (before === undefined) log('nodeHeard', { peer: report.node, life: report.bootId })
    if (report.sequence <= reportsWithLevels) expectNewReceiver()
    reportsByNode.set(report.node, { report, receivedAtMs: clock.monotonicMs() })
    options.onReport(report)
    if (choice.digestSource === undefined) applyActivity(report.node, report.bootId, report)
    if (!report.wantsDigest) return
    totals.record(report.node, report.bootId, report)
    const usesTotals = report.digestSource === undefined || report.digestSource === node
    const isNewReceiver = report.sequence <= reportsWithLevels || before?.digestSource !== report.digestSource
    sendDatagram('digest', encodeDigest({
      node,
      bootId,
      isDraining: ownReport?.isDraining ?? false,
      nodes: totals.nodeCountExcept(report.node),
      delta: options.deltaAfter(report.revision),
      activity: usesTotals ? { ...totals.totalsExcept(report.node), prompts: options.promptsFor(report.node), limits: options.limitsFor(report.node, isNewReceiver), quotaLevels: isNewReceiver ? ownReport?.quotaLevels : undefined } : undefined
    }), from.port, from.address)
  }

  function expectNewReceiver (): void {
    levelsUntilMs = clock.monotonicMs() + levelsAfterNewSourceMs
  }

  function handleDigest (received: NodeDigest): void {
    if (collectorBoots.get(received.node) !== received.bootId) expectNewReceiver()
    collectorBoots.set(received.node, received.bootId)
    collectors.onDigestReceived(received.node, received.isDraining)
    if (received.delta.reachableForMs !== undefined) lastDeltaAtMs = clock.monotonicMs()
    options.onDelta(received.delta)
    if (received.node !== choice.digestSource || received.activity === undefined) return
    digest = { nodes: received.nodes, receivedAtMs: clock.monotonicMs() }
    applyActivity(received.node, received.bootId, received.activity)
  }

  function receive (bytes: Buffer, from: RemoteInfo): void {
    try {
      const message = decodeMessage(bytes)
      if ('report' in message) handleReport(message.report, from)
      else handleDigest(message.digest)
    } catch (error) {
      metrics.count('node_reports_unreadable_total')
      log('nodeReportUnreadable', { cause: (error as Error).message, sizeBytes: bytes.length })
    }
  }

  function removeSilentNodes (): void {
    const oldestAtMs = clock.monotonicMs() - maxMissedIntervals * reportIntervalMs
    for (const [peer, { receivedAtMs }] of reportsByNode) {
      if (receivedAtMs >= oldestAtMs) continue
      reportsByNode.delete(peer)
      totals.remove(peer)
      log('nodeSilent', { peer, silentMs: Math.round(clock.monotonicMs() - receivedAtMs) })
      if (choice.digestSource === undefined) options.onSilent(peer)
    }
    if (digest !== undefined && digest.receivedAtMs < oldestAtMs) digest = undefined
  }

  /** Sends a report ahead of the interval; several requests for one within a short time get a common one. */
  async function sendSoon (): Promise<void> {
    if (isSendingSoon) return
    isSendingSoon = true
    await clock.sleep(Math.max(0, lastReportAtMs + minReportIntervalMs - clock.monotonicMs()), closed.signal)
    isSendingSoon = false
    if (!closed.signal.aborted) sendReport()
  }

  async function run (): Promise<void> {
    while (!closed.signal.aborted) {
      sendReport()
      removeSilentNodes()
      await clock.sleep(reportIntervalMs, closed.signal)
    }
  }

  return {
    start: () => new Promise((resolve, reject) => {
      socket.once('error', reject)
      socket.on('message', receive)
      socket.bind(options.port, options.host, () => {
        socket.off('error', reject)
        socket.on('error', error => log('nodeReportUnreadable', { cause: error.message }))
        run()
        resolve()
      })
    }),
    reportingNodes: () => [...reportsByNode.keys()],
    knownNodeCount: () => choice.digestSource === undefined ? reportsByNode.size : digest?.nodes ?? 0,
    currentNodeCount: () => {
      const nowMs = clock.monotonicMs()
      if (choice.digestSource !== undefined) return digest !== undefined && digest.receivedAtMs >= nowMs - maxCurrentDigestAgeMs ? digest.nodes : 0
      return [...reportsByNode.values()].filter(({ receivedAtMs }) => receivedAtMs >= nowMs - maxCurrentAgeMs).length
    },
    ownReports: () => {
      const oldestAtMs = clock.monotonicMs() - maxCurrentAgeMs
      const usesOwnDigest = ({ wantsDigest, digestSource }: NodeReport): boolean => !wantsDigest || digestSource === node
      return [...reportsByNode.values()].flatMap(({ report, receivedAtMs }) => receivedAtMs >= oldestAtMs && usesOwnDigest(report) ? [report] : [])
    },
    lastReport: peer => reportsByNode.get(peer)?.report,
    collectors: () => choice.usesCollectors ? [...choice.everyReport] : [],
    isCollector: () => choice.isCollector,
    hasPeerUpdates: () => choice.usesCollectors && !choice.isCollector && clock.monotonicMs() - lastDeltaAtMs <= maxDeltaAgeMs,
    usesCollectors: () => choice.usesCollectors,
    // With a collector, a report waits for half an interval there and its digest for half an interval here.
    activityAgeMs: () => choice.usesCollectors ? reportIntervalMs : reportIntervalMs / 2,
    getsAllReports: () => choice.digestSource === undefined,
    evidenceDelayMs: () => (choice.usesCollectors ? 2 : 1) * reportIntervalMs + reportIntervalMs / 2,
    sendReport,
    sendSoon: () => { sendSoon() },
    close: () => {
      closed.abort()
      socket.close()
    }
  }
}
