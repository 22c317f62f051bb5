/**
 * Reports between nodes over UDP. Each report is complete in itself, so a lost one
 * only delays the information, and there are no connections that could stall. In a
 * large cluster reports go to collectors, which respond with digests.
 */
import { createCollectors } from './collectors.ts'
import { decodeMessage, encodeDigest, encodeQuotaDecision, encodeQuotaRequest, encodeReport } from './codec.ts'
import { createActivityTotals } from './activity-totals.ts'
import { maxPrefixesOf } from './prefix-limit.ts'
import { createReportSocket } from './report-socket.ts'
import type { RemoteInfo } from 'node:dgram'
import type { NodeId } from '../ids/index.ts'
import type { QuotaDecider, QuotaRequest } from '../quota/index.ts'
import type { CollectorChoice } from './collectors.ts'
import type { NodeReports, NodeReportsOptions } from './exchange-types.ts'
import type { Activity, NodeDigest, NodeReport } from './types.ts'

export type * from './types.ts'
export type * from './exchange-types.ts'
export type { CollectorChoice } from './collectors.ts'
export { createCollectors } from './collectors.ts'
export type { ActivityTotals } from './activity-totals.ts'
export { createActivityTotals } from './activity-totals.ts'
export { fetchNewerView, serveView } from './view-server.ts'

/** Interval between reports; limits the age of what other nodes know. A collector with a third of a CPU core can process those of hundreds of nodes. */
export const reportIntervalMs = 200
/** Shortest time between two reports that are sent ahead of the interval. */
const minReportIntervalMs = 20
/** Number of intervals without a report after which a node counts as silent; some datagrams are lost. */
const maxMissedIntervals = 7
/** Age up to which activity is current: a node that was cut off notices it after so long. Through a collector, a lost report and a lost digest both delay it. */
const maxCurrentAgeMs = 3 * reportIntervalMs
const maxCurrentDigestAgeMs = 5 * reportIntervalMs
/** Number of reports of a node since its start, and time after a collector's first digest, for which quota levels are sent to it. */
const reportsWithLevels = 10
/** Number of reports during which a process counts as just started: those of 8 s, the window of quotas. */
const reportsAfterStart = 40
const levelsAfterNewSourceMs = reportsWithLevels * reportIntervalMs
/** Interval at which datagrams that can't be decoded are logged; the metric counts all of them. */
const unreadableLogIntervalMs = 1_000
/** Interval at which a collector counts the current reports, as quotas need the number for each report of hundreds of nodes. */
const countIntervalMs = 20

/** Creates the report exchange; `start` binds its port. */
export function createNodeReports (options: NodeReportsOptions): NodeReports {
  const { clock, log, metrics, node, bootId } = options
  const socket = createReportSocket({ host: options.host, port: options.port, metrics, onReceived: receive, onError: error => log('nodeReportUnreadable', { cause: error.message }) })
  const closed = new AbortController()
  const reportsByNode = new Map<NodeId, { report: NodeReport, receivedAtMs: number }>()
  const collectors = createCollectors({ node, linkMbps: options.linkMbps, clock, draw: options.draw, takeoverAgeMs: options.takeoverAgeMs })
  const totals = createActivityTotals({ clock, maxPrefixes: () => maxPrefixesOf(options.linkMbps, reportsByNode.size, reportIntervalMs) })
  let choice: CollectorChoice = collectors.choose([], undefined)
  let digest: { nodes: number, receivedAtMs: number } | undefined
  /** The last digest of each collector, with or without totals. */
  const collectorStates = new Map<NodeId, { receivedAtMs: number, decidesQuotas: boolean }>()
  /** Sources whose activity was applied since the digest source last changed. */
  const countedSources = new Set<NodeId>()
  const collectorBoots = new Map<NodeId, string>()
  let hadPeerUpdates = false
  /** Monotonic time until which reports include quota levels, because a receiver may have just started. */
  let levelsUntilMs = 0
  let reportingCount = 0
  let reportingCountedAtMs = -Infinity
  let ownReport: NodeReport | undefined
  let sequence = 0
  let lastReportAtMs = -Infinity
  let isSendingSoon = false
  let unreadableLoggedAtMs = -Infinity

  /** Sets the choice. If the digest source changes, activity from the previous sources is discarded. */
  function applyChoice (next: CollectorChoice): void {
    const before = choice.digestSource
    const watchers = next.watchers.join()
    if (watchers !== choice.watchers.join()) log('storeWatchersChosen', { watchers, before: choice.watchers.join() })
    choice = next
    if (before === next.digestSource) return
    log('collectorChosen', { collector: next.digestSource ?? node, before: before ?? node, heard: reportsByNode.size })
    digest = undefined
    countedSources.clear()
    for (const source of before === undefined ? reportsByNode.keys() : [before]) options.onSilent(source)
  }

  function hasPeerUpdates (): boolean {
    return choice.usesCollectors && !choice.isWatcher && collectors.peerContentAgeMs() < options.maxPeerContentAgeMs
  }

  /** Logs when this node no longer depends on the content of those that watch the key-value service for it. */
  function logPeerContent (): void {
    const hadUpdates = hadPeerUpdates
    hadPeerUpdates = hasPeerUpdates()
    if (hadUpdates && !hadPeerUpdates && choice.usesCollectors && !choice.isWatcher) log('peerContentOld', { contentAgeMs: Math.round(collectors.peerContentAgeMs()), watchers: choice.watchers.join() })
  }

  function sendReport (isToAll: boolean): void {
    const peers = options.peers()
    const holder = options.dutyHolder()
    const content = options.collectReport()
    applyChoice(collectors.choose(peers, holder === node ? undefined : holder, content.isDraining))
    logPeerContent()
    sequence += 1
    lastReportAtMs = clock.monotonicMs()
    const report: NodeReport = { ...content, node, bootId, sequence, wantsDigest: choice.usesCollectors, digestSource: choice.digestSource ?? node }
    ownReport = report
    const targets = new Set([...choice.everyReport, ...(isToAll || sequence % 2 === 0 ? choice.everySecondReport : [])])
    if (choice.usesCollectors) {
      totals.record(node, bootId, report, sequence <= reportsAfterStart)
      options.onOwnReport?.(report)
    }
    if (targets.size === 0) return
    const bytes = encodeReport(clock.monotonicMs() < levelsUntilMs ? report : { ...report, quotaLevels: undefined })
    for (const { node: peer, host, reportPort } of peers) {
      if (!targets.has(peer)) continue
      if (choice.usesCollectors) collectors.onReportSent(peer)
      socket.send('report', bytes, reportPort, host)
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
    totals.record(report.node, report.bootId, report, report.sequence <= reportsAfterStart)
    const usesTotals = report.digestSource === undefined || report.digestSource === node
    const isNewReceiver = report.sequence <= reportsWithLevels || before?.digestSource !== report.digestSource
    socket.send('digest', encodeDigest({
      node,
      bootId,
      isDraining: ownReport?.isDraining ?? false,
      decidesQuotas: options.decideQuota !== undefined,
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
    collectors.onDigestReceived(received.node, received.isDraining, received.delta.contentAgeMs)
    collectorStates.set(received.node, { receivedAtMs: clock.monotonicMs(), decidesQuotas: received.decidesQuotas })
    options.onDelta(received.delta)
    if (received.node !== choice.digestSource || received.activity === undefined) return
    digest = { nodes: received.nodes, receivedAtMs: clock.monotonicMs() }
    applyActivity(received.node, received.bootId, received.activity)
  }

  function receive (bytes: Buffer, from: RemoteInfo): void {
    try {
      const message = decodeMessage(bytes)
      if ('report' in message) handleReport(message.report, from)
      else if ('digest' in message) handleDigest(message.digest)
      else if ('quotaDecision' in message) options.onQuotaDecision?.(message.quotaDecision)
      else if (options.decideQuota !== undefined) socket.send('quota', encodeQuotaDecision(options.decideQuota(message.quotaRequest)), from.port, from.address)
    } catch (error) {
      metrics.count('node_reports_unreadable_total')
      const nowMs = clock.monotonicMs()
      if (nowMs < unreadableLoggedAtMs + unreadableLogIntervalMs) return
      unreadableLoggedAtMs = nowMs
      log('nodeReportUnreadable', { cause: (error as Error).message, sizeBytes: bytes.length })
    }
  }

  function countReporting (nowMs: number): number {
    let count = 0
    for (const { receivedAtMs } of reportsByNode.values()) if (receivedAtMs >= nowMs - maxCurrentAgeMs) count += 1
    return count
  }

  function quotaDecider (): QuotaDecider {
    if (!choice.usesCollectors) return 'each-node'
    if (choice.digestSource === undefined) return 'this-node'
    const collector = collectorStates.get(choice.digestSource)
    if (collector === undefined || collector.receivedAtMs < clock.monotonicMs() - maxCurrentDigestAgeMs) return 'unreachable'
    return collector.decidesQuotas ? 'collector' : 'each-node'
  }

  function sendQuotaRequest (request: QuotaRequest): void {
    const collector = options.peers().find(peer => peer.node === choice.digestSource)
    if (collector !== undefined) socket.send('quota', encodeQuotaRequest(request), collector.reportPort, collector.host)
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
    if (!closed.signal.aborted) trySendReport(false)
  }

  /** An error in what one module reports must not end the reports of this node. */
  function trySendReport (isToAll: boolean): void {
    try {
      sendReport(isToAll)
    } catch (error) {
      log('nodeReportFailed', { cause: (error as Error).stack })
    }
  }

  async function run (): Promise<void> {
    while (!closed.signal.aborted) {
      trySendReport(false)
      removeSilentNodes()
      await clock.sleep(reportIntervalMs, closed.signal)
    }
  }

  return {
    start: async () => {
      await socket.bind()
      run()
    },
    reportingNodes: () => [...reportsByNode.keys()],
    knownNodeCount: () => choice.digestSource === undefined ? reportsByNode.size : digest?.nodes ?? 0,
    currentNodeCount: () => {
      const nowMs = clock.monotonicMs()
      if (choice.digestSource !== undefined) return digest !== undefined && digest.receivedAtMs >= nowMs - maxCurrentDigestAgeMs ? digest.nodes : 0
      if (!choice.usesCollectors) return countReporting(nowMs)
      if (nowMs >= reportingCountedAtMs + countIntervalMs) {
        reportingCountedAtMs = nowMs
        reportingCount = countReporting(nowMs)
      }
      return reportingCount
    },
    ownReports: () => {
      const oldestAtMs = clock.monotonicMs() - maxCurrentAgeMs
      const usesOwnDigest = ({ wantsDigest, digestSource }: NodeReport): boolean => !wantsDigest || digestSource === node
      return [...reportsByNode.values()].flatMap(({ report, receivedAtMs }) => receivedAtMs >= oldestAtMs && usesOwnDigest(report) ? [report] : [])
    },
    lastReport: peer => reportsByNode.get(peer)?.report,
    collectors: () => choice.usesCollectors ? [...choice.everyReport] : [],
    isCollector: () => choice.isCollector,
    isWatcher: () => choice.isWatcher,
    hasPeerUpdates,
    usesCollectors: () => choice.usesCollectors,
    // With a collector, a report waits for half an interval there and its digest for half an interval here.
    activityAgeMs: () => choice.usesCollectors ? reportIntervalMs : reportIntervalMs / 2,
    getsAllReports: () => choice.digestSource === undefined,
    evidenceDelayMs: () => (choice.usesCollectors ? 2 : 1) * reportIntervalMs + reportIntervalMs / 2,
    quotaDecider,
    sendQuotaRequest,
    sendReport: () => trySendReport(true),
    sendSoon: () => { sendSoon() },
    close: () => {
      closed.abort()
      socket.close()
    }
  }
}
