/**
 * Version moves, that is gradual rollouts of a new version. Each node computes
 * the traffic share of the new version from the move's record and its clock, and
 * can brake a move: stop the traffic to the new version on all nodes because of
 * a regression. The node that holds the duty of a team loads and unloads versions
 * and writes the record.
 */
import { createFeed } from '../configuration/index.ts'
import { rankNodes } from '../membership/index.ts'
import { createDurableWriter } from '../platform/durable-write/index.ts'
import { createMoveReconciler } from './reconcile-move.ts'
import { createRegressionEnd } from './end.ts'
import { createLoadVersions } from './load-versions.ts'
import { brakeKind, parseBrake, parseReport, reportKind } from './messages.ts'
import { moveKeyPrefix } from './move-record.ts'
import { createMoveRecordStore } from './move-record-store.ts'
import { newVersionShare, nextStepAtMs } from './schedule.ts'
import { createCanaryAnalysis } from './canary-analysis.ts'
import { createServiceHistory } from './service-history.ts'
import { expandVersions, sharesAt, effectiveVersion } from './versions.ts'
import type { Backend } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { Configuration, FeedBounds } from '../configuration/index.ts'
import type { AttemptObservation } from './attempt-observation.ts'
import type { BackendId, TeamId, VersionId } from '../ids/index.ts'
import type { Duties, Duty } from '../leases/index.ts'
import type { Log } from '../log/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Membership, PeerAddress, PeerNetwork } from '../peers/types.ts'
import type { KeyValueStore } from '../platform/key-value/types.ts'
import type { TeamDeclaration } from '../teams/types.ts'
import type { BackendOrders } from './load-versions.ts'
import type { MoveReport } from './messages.ts'
import type { CanaryAnalysis } from './canary-analysis.ts'
import type { ServiceHistory } from './service-history.ts'
import type { RegressionEvidence, MoveRecord, Moves } from './types.ts'

export type * from './types.ts'
export type { BackendOrders } from './load-versions.ts'
export { moveKeyPrefix, parseMoveRecord } from './move-record.ts'
export { newVersionShare } from './schedule.ts'
export { isSameAfterRestore } from './order-continuity.ts'
export { createServiceMoves } from './service-moves.ts'
export type { ServiceMoveOrder, ServiceMoveRecord, ServiceMoves, ServiceMoveState, ServiceMoveStatus } from './service-moves.ts'

/** Options of the moves on a node. */
export interface MovesOptions {
  store: KeyValueStore
  network: PeerNetwork
  membership: Membership
  configuration: Pick<Configuration, 'current'>
  duties: Duties
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
  /** Backend servers of a team according to the instance list. */
  backendsOf: (team: TeamId) => readonly Backend[]
  ordersOf: (backend: BackendId) => BackendOrders | undefined
  /** Restarts the running drafts of a version on another version. */
  withdrawVersion: (team: TeamId, version: VersionId) => void
  feedBounds?: Partial<FeedBounds>
}

/** Interval at which the moves of all teams are reconciled. */
const reconcileIntervalMs = 1_000
/** The same while a step of a move is due, of which each lasts a small part of the move. */
const stepIntervalMs = 250
/** Interval of the reports to other nodes. */
const reportIntervalMs = 500
const barrierPrefix = 'barriers/moves/'
/** Number of nodes that sum the reports of a move, besides the holder of its duty. */
const summingNodes = 2
/** A brake is sent to all peers if there are at most this many, otherwise to `brakeFanOut` random peers at each hop. */
const maxBroadcastPeers = 16
const brakeFanOut = 8

/** Name of the duty for a team's moves. */
export function moveDutyName (team: TeamId): string {
  return `moves/${team}`
}

/** Starts the moves of all teams on this node. */
export function createMoves (options: MovesOptions): Moves {
  const { store, network, membership, configuration, clock, log, metrics, random } = options
  const { node } = membership.self
  const stop = new AbortController()
  const feed = createFeed({ ...options, prefix: moveKeyPrefix, ...(options.feedBounds === undefined ? {} : { bounds: options.feedBounds }) })
  const writer = createDurableWriter({ store, clock, barrierKey: barrierPrefix + node })
  const records = createMoveRecordStore({ clock, log, feed, writer })
  const duties = new Map<TeamId, Duty>()
  const analyses = new Map<TeamId, CanaryAnalysis>()
  const histories = new Map<TeamId, ServiceHistory>()
  const withdrawn = new Set<string>()
  const reportedTotals = new Map<TeamId, number>()

  function declarationOf (team: TeamId): TeamDeclaration | undefined {
    return configuration.current().teams.get(team)
  }

  /** The canary analysis of a running move, created on first use; undefined before the new version has traffic. */
  function analysisOf (record: MoveRecord): CanaryAnalysis | undefined {
    const { team } = record
    const known = analyses.get(team)
    if (known?.record.move === record.move) return known
    if (record.end !== undefined || record.trafficAtMs === undefined) return undefined
    const analysis = createCanaryAnalysis({
      node,
      record,
      nodes: membership.peers().length + 1,
      routes: declarationOf(team)?.routes.length ?? 1,
      history: histories.get(team)?.counts() ?? [],
      onBrake: brake => onBrake(record, brake)
    })
    analyses.set(team, analysis)
    return analysis
  }

  function onBrake (record: MoveRecord, brake: RegressionEvidence): void {
    const { team, move, toVersion } = record
    metrics.count('move_brakes_total', { team, kind: brake.kind })
    log('moveBraked', { team, move, toVersion, ...brake })
    for (const peer of brakeReceivers()) network.send(peer, brakeKind, { team, move, brake })
    withdraw(record)
    // The node that detected the regression writes without holding the duty, since the first end written is final.
    if (brake.node === node) endAsRegressed(team, brake)
  }

  async function endAsRegressed (team: TeamId, brake: RegressionEvidence): Promise<void> {
    const current = records.read(team)
    if (current?.end !== undefined || current === undefined) return
    await records.write({ ...current, end: createRegressionEnd(brake, clock.wallMs()) })
  }

  function brakeReceivers (): PeerAddress[] {
    const peers = [...membership.peers()]
    if (peers.length <= maxBroadcastPeers) return peers
    return Array.from({ length: brakeFanOut }, () => peers.splice(Math.floor(random() * peers.length), 1)).flat()
  }

  function withdraw ({ team, move, toVersion }: MoveRecord): void {
    if (withdrawn.has(move)) return
    withdrawn.add(move)
    options.withdrawVersion(team, toVersion)
  }

  /** Records an attempt while no move is running, to compare the next move with. */
  function recordHistory ({ team, route, ok, firstTokenMs, betweenTokensMs }: AttemptObservation): void {
    const history = histories.get(team) ?? createServiceHistory()
    histories.set(team, history)
    history.addAttempt(route, ok, clock.monotonicMs())
    if (ok && firstTokenMs !== undefined) history.addLatency(route, 'first-token-slow', firstTokenMs)
    if (ok && betweenTokensMs !== undefined) history.addLatency(route, 'between-tokens-slow', betweenTokensMs)
  }

  function recordAttempt (observation: AttemptObservation): void {
    const current = records.read(observation.team)
    if (current === undefined || current.end !== undefined) return recordHistory(observation)
    const nowMs = clock.wallMs()
    const share = newVersionShare(current, nowMs)
    if (share > 0) analysisOf(current)?.recordAttempt(observation, share, nowMs)
  }

  network.handle(reportKind, (from, body) => {
    const report = parseReport(body)
    const current = report === undefined ? undefined : records.read(report.team)
    if (report === undefined || current?.move !== report.move) return
    const analysis = analysisOf(current)
    analysis?.addReport(from, report.counts, clock.wallMs())
    if (report.brake !== undefined) analysis?.applyBrake(report.brake)
  })
  network.handle(brakeKind, (_from, body) => {
    const message = parseBrake(body)
    const current = message === undefined ? undefined : records.read(message.team)
    if (message !== undefined && current?.move === message.move) analysisOf(current)?.applyBrake(message.brake)
  })

  /** Peers that sum the reports of a move: some by rank, and the holder of its duty. */
  function summingNodesOf ({ team, holder }: MoveRecord): PeerAddress[] {
    const ranked = rankNodes([membership.self, ...membership.peers()], moveDutyName(team)).slice(0, summingNodes)
    const holding = membership.find(holder)
    return holding === undefined || ranked.some(address => address.node === holder) ? ranked : [...ranked, holding]
  }

  function report (analysis: CanaryAnalysis): void {
    const { team, move } = analysis.record
    const current = records.read(team)
    if (current?.move !== move || current.end !== undefined) return
    const counts = analysis.counts()
    const brake = analysis.brake()
    const total = counts.reduce((sum, { newTotal, oldTotal }) => sum + newTotal + oldTotal, 0)
    const body: MoveReport = { team, move, counts, ...(brake === undefined ? {} : { brake }) }
    analysis.addReport(node, counts, clock.wallMs())
    if (brake === undefined && total === reportedTotals.get(team)) return
    reportedTotals.set(team, total)
    for (const address of summingNodesOf(current)) if (address.node !== node) network.send(address, reportKind, body)
  }

  async function runReports (): Promise<void> {
    while (!stop.signal.aborted) {
      for (const analysis of analyses.values()) report(analysis)
      await clock.sleep(reportIntervalMs, stop.signal)
    }
  }

  const reconcileMove = createMoveReconciler({
    node,
    clock,
    records,
    loadVersions: createLoadVersions({ clock, ordersOf: options.ordersOf }),
    liveBackends: ({ team }) => options.backendsOf(team).filter(backend => backend.state === 'live'),
    analysisOf
  })

  /** Campaigns for the duty of a team that has work to do, and resigns from that of others. */
  async function updateCampaign (declaration: TeamDeclaration): Promise<Duty | undefined> {
    const { team, move } = declaration
    const current = records.read(team)
    const hasWork = current === undefined
      ? move !== undefined
      : current.unloadedAtMs === undefined || (move !== undefined && (move.toVersion !== current.toVersion || move.deadlineAtMs !== current.deadlineAtMs))
    const known = duties.get(team)
    if (hasWork) {
      const duty = known ?? options.duties.campaign(moveDutyName(team))
      duties.set(team, duty)
      return duty
    }
    duties.delete(team)
    await known?.close()
    return undefined
  }

  /** Withdraws running drafts from a new version to which this node sends no more traffic. */
  function withdrawFromEndedMove (declaration: TeamDeclaration): void {
    const current = records.read(declaration.team)
    if (current?.trafficAtMs === undefined) return
    const { shares } = sharesOf(declaration.team) ?? { shares: [] }
    if (!shares.some(({ version }) => version === current.toVersion)) withdraw(current)
  }

  async function reconcileTeam (declaration: TeamDeclaration): Promise<void> {
    withdrawFromEndedMove(declaration)
    const duty = await updateCampaign(declaration)
    if (duty !== undefined) await reconcileMove(declaration, duty)
  }

  /** Whether a running move is due for its next step, or will be before the next usual interval has passed. */
  function isStepDue (): boolean {
    const latestMs = clock.wallMs() + reconcileIntervalMs
    return records.all().some(record => record.end === undefined && record.trafficAtMs !== undefined && nextStepAtMs(record) <= latestMs)
  }

  /** One task per team, so that slow backend servers of one team don't delay the others. */
  const reconciling = new Map<TeamId, Promise<void>>()
  async function runReconciling (): Promise<void> {
    while (!stop.signal.aborted) {
      for (const declaration of configuration.current().teams.values()) {
        const { team } = declaration
        if (reconciling.has(team)) continue
        reconciling.set(team, reconcileTeam(declaration).finally(() => reconciling.delete(team)))
      }
      await clock.sleep(isStepDue() ? stepIntervalMs : reconcileIntervalMs, stop.signal)
    }
    await Promise.all(reconciling.values())
  }

  function sharesOf (team: TeamId) {
    const declaration = declarationOf(team)
    if (declaration === undefined) return undefined
    const current = records.read(team)
    const known = analyses.get(team)
    const isBraked = known !== undefined && known.record.move === current?.move && known.brake() !== undefined
    // A node that may have missed a brake or an end sends no traffic to the canary version.
    const isStopped = isBraked || !feed.readiness().ready
    return sharesAt(declaration, current, isStopped, clock.wallMs())
  }

  function effectiveDeclaration (team: TeamId): TeamDeclaration | undefined {
    const declaration = declarationOf(team)
    return declaration === undefined ? undefined : { ...declaration, version: effectiveVersion(declaration, records.read(team)) }
  }

  const tasks = [runReconciling(), runReports()]
  return {
    sharesOf,
    effectiveDeclaration,
    recordAttempt,
    expandVersions: (team, backends) => expandVersions(backends, records.read(team)),
    list: records.all,
    close: async () => {
      stop.abort()
      await Promise.all(tasks)
      await Promise.all([...duties.values()].map(duty => duty.close()))
      await feed.close()
    }
  }
}
