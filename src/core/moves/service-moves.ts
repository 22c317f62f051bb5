/**
 * Version moves of services whose new version runs on separate backend servers.
 * Each node sends the new version a small share of the requests and evaluates
 * it; the holder of the duty writes the result before the deadline.
 */
import { packCounts, unpackCounts } from './attempt-counts.ts'
import { eraOf } from '../platform/key-value/revision.ts'
import { createCanaryAnalysis } from './canary-analysis.ts'
import { parseServiceReports } from './messages.ts'
import { createOldVersion } from './old-version.ts'
import { createOrderContinuity } from './order-continuity.ts'
import { createServiceHistory } from './service-history.ts'
import type { NodeId, TeamId, VersionId } from '../ids/index.ts'
import type { PackedCounts } from './attempt-counts.ts'
import type { CanaryAnalysis } from './canary-analysis.ts'
import type { OldVersion } from './old-version.ts'
import type { OrderContinuity } from './order-continuity.ts'
import type { PromotionResult } from './promotion.ts'
import type { ServiceHistory } from './service-history.ts'
import type { RegressionEvidence, MoveRecord } from './types.ts'
import type { ServiceMoveOrder, ServiceMoves, ServiceMovesOptions, ServiceMoveState, StateCause } from './service-move-types.ts'

export type * from './service-move-types.ts'

/** Fraction of the allowed share that is used; random draws vary, and retries add to them. */
const usedShareRatio = 0.7
/** Fraction of the slack that is used; the rest is for rounding on each node. */
const usedSlackRatio = 0.8
/** Largest share of the canary version, as a multiple of the allowed one; the slack then lasts for the whole evaluation. */
const maxShareRatio = 4
/** Fraction of a move's time after which a new version that was shown to be good takes over. */
const evaluationRatio = 0.7
/** Longest reserve before the deadline, so that the result can be written despite an outage. */
const maxMarginMs = 4_000
/** Interval between two reports of counts; those in between only tell whether the version is bad. */
const countsIntervalMs = 600
/** Time without a running backend server of the old version after which none is expected back, as a multiple of the time in which registrations settle. */
const goneForGoodRatio = 2
/** Longest time for one write. */
const callTimeoutMs = 1_200

interface RunningMove {
  readonly order: ServiceMoveOrder
  continuity: OrderContinuity
  oldVersion: OldVersion
  analysis: CanaryAnalysis
  seenAtMs: number
  isBad: boolean
  /** The result once it was written, also if the key-value service loses it in a restore. */
  result: 'done' | 'taken-back' | undefined
  /** Monotonic time from which the counts are included in a report again. */
  countsDueAtMs: number
  /** Monotonic time at which this node learned the result. */
  resultAtMs: number
  /** Attempts that this node sent to the service since it saw the order, and how many of them to the canary version. */
  attempts: number
  canaryAttempts: number
  /** Share that this node uses of the requests allowed beyond `maxShare`. */
  slackShare: number
  /** Reason for which the move could not be completed so far, to log changes of it. */
  loggedResult: PromotionResult | undefined
}

/** Creates the moves of a node. */
export function createServiceMoves (options: ServiceMovesOptions): ServiceMoves {
  const { node, clock, log, store, duty } = options
  const running = new Map<string, RunningMove>()
  const histories = new Map<string, ServiceHistory>()

  function historyOf (service: string): ServiceHistory {
    const known = histories.get(service) ?? createServiceHistory()
    histories.set(service, known)
    return known
  }

  function markBad (service: string, evidence: RegressionEvidence | undefined, from: NodeId): void {
    const move = running.get(service)
    if (move === undefined || move.isBad) return
    move.isBad = true
    log('serviceMoveBad', { service, target: move.order.target, from, ...evidence })
  }

  function begin (order: ServiceMoveOrder): RunningMove {
    const nowMs = clock.wallMs()
    const record = {
      fromVersion: oldVersionLabel,
      toVersion: order.target,
      startedAtMs: nowMs,
      trafficAtMs: nowMs,
      deadlineAtMs: nowMs + order.durationMs
    } as MoveRecord
    const analysis = createCanaryAnalysis({
      node,
      record,
      nodes: options.nodes(),
      routes: options.routes(order.service),
      history: historyOf(order.service).counts(),
      onBrake: evidence => markBad(order.service, evidence, node)
    })
    log('serviceMoveSeen', { service: order.service, target: order.target, durationMs: order.durationMs, revision: order.revision })
    const continuity = createOrderContinuity(clock, order, options.record(order)?.revision)
    const oldVersion = createOldVersion({
      clock,
      presence: () => options.oldVersionPresence(order),
      areRegistrationsSettled: options.areRegistrationsSettled,
      goneForGoodMs: goneForGoodRatio * options.registrationTimes.settleMs,
      onChange: (presence, isGone) => log('serviceMoveOldVersion', { service: order.service, target: order.target, presence, isGone })
    })
    return {
      get order () { return continuity.current },
      continuity,
      oldVersion,
      analysis,
      seenAtMs: nowMs,
      isBad: false,
      result: undefined,
      countsDueAtMs: -Infinity,
      resultAtMs: -Infinity,
      attempts: 0,
      canaryAttempts: 0,
      slackShare: slackShareOf(order),
      loggedResult: undefined
    }
  }

  /** Spreads the requests that are allowed beyond the share over the evaluation. A node without earlier traffic may have restarted and used its part before. */
  function slackShareOf ({ service, durationMs }: ServiceMoveOrder): number {
    const expectedAttempts = historyOf(service).attemptsPerSecond(clock.monotonicMs()) * durationMs * evaluationRatio / 1_000
    return expectedAttempts === 0 ? 0 : slackPerNode() / expectedAttempts
  }

  function slackPerNode (): number {
    return options.shareSlack * usedSlackRatio / Math.max(1, options.nodes())
  }

  /** The counts of a running move, if they are due again. */
  function dueCounts (move: RunningMove): PackedCounts[] {
    const nowMs = clock.monotonicMs()
    if (isEnded(move) || nowMs < move.countsDueAtMs) return []
    move.countsDueAtMs = nowMs + countsIntervalMs
    return move.analysis.counts().map(packCounts)
  }

  /** The move of a service's latest order; created when this node first sees the order. */
  function currentMove (service: string): RunningMove | undefined {
    const order = options.orders().find(other => other.service === service)
    const known = running.get(service)
    if (order === undefined) return known !== undefined && isLost(known.order) ? known : undefined
    if (known?.continuity.follow(order) === true) return known
    const created = begin(order)
    running.set(service, created)
    return created
  }

  /** Whether an order is missing because the key-value service was restored from an older copy; its operator writes it again. */
  function isLost ({ revision }: ServiceMoveOrder): boolean {
    return eraOf(revision) < store.era()
  }

  /** The state that is stored for this order; states of earlier orders are ignored. */
  function storedStateOf ({ order }: RunningMove): ServiceMoveState | undefined {
    const status = options.status(order.service)
    return status !== undefined && status.target === order.target && status.revision > order.revision ? status.state : undefined
  }

  /** The state of a move. A result is final, even if the key-value service has lost it or its order was written again after it. */
  function stateOf (move: RunningMove): ServiceMoveState | undefined {
    const stored = storedStateOf(move)
    for (const state of [stored, options.record(move.order)?.state]) if (state === 'done' || state === 'taken-back') setResult(move, state)
    return move.result ?? stored
  }

  function setResult (move: RunningMove, result: 'done' | 'taken-back'): void {
    if (move.result !== undefined) return
    move.result = result
    move.resultAtMs = clock.monotonicMs()
  }

  function isEnded (move: RunningMove): boolean {
    const state = stateOf(move)
    return state === 'done' || state === 'taken-back'
  }

  function startOf ({ order, seenAtMs }: RunningMove): number {
    return Math.min(options.record(order)?.startedAtMs ?? Infinity, seenAtMs)
  }

  function usedShareOf ({ slackShare }: RunningMove): number {
    return Math.min(options.maxShare * maxShareRatio, options.maxShare * usedShareRatio + slackShare)
  }

  /** Whether the canary version has got this node's part of the allowed requests; random draws alone could exceed it. */
  function isUsedUp ({ attempts, canaryAttempts }: RunningMove): boolean {
    return canaryAttempts >= attempts * options.maxShare + slackPerNode()
  }

  function hasTime (move: RunningMove): boolean {
    return clock.wallMs() < startOf(move) + move.order.durationMs
  }

  async function write (move: RunningMove, state: ServiceMoveState, cause: StateCause): Promise<void> {
    const guard = duty.guard()
    if (guard === undefined) return
    const { compares, puts } = options.encode(move.order, state, startOf(move))
    const written = await store.transact({ compares: [guard, ...compares], puts, deletes: [] }, { deadlineAtMs: clock.wallMs() + callTimeoutMs })
    const result = written.isErr ? written.error.kind : written.value.applied ? 'written' : 'overtaken'
    if (written.isOk && written.value.applied && state !== 'running') setResult(move, state)
    log('serviceMoveState', { service: move.order.service, target: move.order.target, state, cause, result, attempts: move.analysis.canaryAttempts(), isDoubtful: move.analysis.isDoubtful(), ...move.analysis.totals() })
  }

  async function reconcileMove (move: RunningMove): Promise<void> {
    const state = stateOf(move)
    const isOutdated = move.continuity.isOutdated(options.record(move.order)?.revision)
    if (move.result !== undefined && (storedStateOf(move) !== move.result || isOutdated)) return await write(move, move.result, 'lost')
    if (isEnded(move)) return
    const { durationMs } = move.order
    const isExpired = clock.wallMs() > startOf(move) + durationMs - callTimeoutMs
    if ((move.isBad || isExpired) && move.oldVersion.canTakeBack()) return await write(move, 'taken-back', move.isBad ? 'bad-version' : 'deadline-past')
    if (state === undefined) return await write(move, 'running', 'ordered')
    const decideAtMs = startOf(move) + Math.max(durationMs * evaluationRatio, durationMs - maxMarginMs)
    if (move.isBad || clock.wallMs() < decideAtMs) return
    const isShown = move.oldVersion.isGone() ? move.oldVersion.isGoneForGood() && move.analysis.answersWellAlone() : !isExpired && isShownGood(move)
    if (isShown) await write(move, 'done', move.oldVersion.isGone() ? 'old-version-gone' : 'shown-good')
  }

  /** Records what an attempt showed, with the share at which it was drawn. */
  function observe (move: RunningMove, record: (share: number) => void): void {
    if (!isEnded(move) && move.oldVersion.isCertain()) record(move.oldVersion.isGone() ? 1 : usedShareOf(move))
  }

  /** A version that isn't shown to be good yet may be so later; without that it is taken back shortly before the deadline. */
  function isShownGood (move: RunningMove): boolean {
    const { result, ...evidence } = move.analysis.promotionVerdict(clock.wallMs())
    if (result === 'good' && !move.analysis.isDoubtful()) return true
    const reason = result === 'good' ? 'not-shown-good' : result
    if (reason !== move.loggedResult) log('serviceMoveHeld', { service: move.order.service, target: move.order.target, reason, ...evidence })
    move.loggedResult = reason
    return false
  }

  return {
    versionRolesOf: service => {
      const move = currentMove(service)
      if (move === undefined) return () => 'serving'
      if (stateOf(move) !== 'done') return version => version === move.order.target ? 'evaluated' : 'serving'
      // Until then, its backend servers are stopped and their registrations expire.
      const isReplacing = clock.monotonicMs() < move.resultAtMs + options.registrationTimes.expiryMs
      return version => isReplacing && version !== move.order.target ? 'replaced' : 'serving'
    },
    canaryShareOf: service => {
      const move = currentMove(service)
      if (move === undefined || move.isBad || isEnded(move)) return 0
      if (move.oldVersion.isGone()) return 1
      return !options.hasCurrentView() || !hasTime(move) || isUsedUp(move) ? 0 : usedShareOf(move)
    },
    recordSent: (service, isCanary) => {
      const move = running.get(service)
      if (move === undefined) return
      move.attempts += 1
      if (isCanary) move.canaryAttempts += 1
    },
    recordAttempt: (service, isCanary, evidence) => {
      const move = running.get(service)
      if (!isCanary && (move === undefined || isEnded(move))) historyOf(service).addAttempt(evidence.route, evidence.ok, clock.monotonicMs())
      if (move === undefined) return
      const version = isCanary ? move.order.target : oldVersionLabel
      observe(move, share => move.analysis.recordAttempt({ ...evidence, version, team: service as TeamId, firstTokenMs: undefined, betweenTokensMs: undefined }, share, clock.wallMs()))
    },
    recordLatency: (service, isCanary, observation) => {
      const move = running.get(service)
      const version = isCanary ? move?.order.target : oldVersionLabel
      if (move !== undefined && version !== undefined) observe(move, share => move.analysis.recordLatency({ ...observation, version }, share, clock.wallMs()))
      if (!isCanary && !observation.isLowerBound) historyOf(service).addLatency(observation.route, observation.kind, observation.latencyMs)
    },
    reports: () => [...running.values()].filter(move => stateOf(move) !== 'done').map(move => ({
      service: move.order.service, revision: move.order.revision, isBad: move.isBad, counts: dueCounts(move)
    })),
    mergeReports: (from, bootId, reports) => {
      for (const { service, revision, isBad, counts } of parseServiceReports(reports)) {
        const move = currentMove(service)
        if (move === undefined || move.order.revision !== revision) continue
        move.analysis.addReport(`${from}/${bootId}`, counts.map(unpackCounts), clock.wallMs())
        if (isBad) markBad(service, undefined, from)
      }
    },
    reconcile: async () => {
      for (const { service } of options.orders()) {
        const move = currentMove(service)
        if (move === undefined) continue
        // The sum over all nodes is evaluated here, where the result is written.
        move.analysis.addReport(node, move.analysis.counts(), clock.wallMs())
        if (!isEnded(move) && move.analysis.hasTooManyBad(!move.oldVersion.isGone())) markBad(service, undefined, node)
        await reconcileMove(move)
      }
    }
  }
}

/** Label for all versions other than the new one. */
const oldVersionLabel = 'serving' as VersionId
