/**
 * Carries out one team's move on the node that holds its duty: orders the loads
 * and advances the record step by step. A new holder continues from the record
 * alone.
 */
import { createId } from '../ids/index.ts'
import { createRegressionEnd, createEnd } from './end.ts'
import { commitAtMs, lastStepIndex, nextStepAtMs, stepRenewalAtMs } from './schedule.ts'
import { isStillDeclared, unloadAtMs, effectiveVersion } from './versions.ts'
import type { Backend } from '../backends/types.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendId, MoveId, NodeId } from '../ids/index.ts'
import type { Duty } from '../leases/index.ts'
import type { TeamDeclaration } from '../teams/types.ts'
import type { LoadVersions } from './load-versions.ts'
import type { MoveRecordStore } from './move-record-store.ts'
import type { CanaryAnalysis } from './canary-analysis.ts'
import type { PromotionResult } from './promotion.ts'
import type { EndReason, MoveEnd, MoveRecord } from './types.ts'

/** Attempts of the new version on a route that a step requires, if the traffic of the route is enough to expect them. */
const minAttemptsPerStep = 8
/** Attempts of the new version on a route that "done" requires, if the route has enough traffic. */
const minAttemptsToFinish = 12
/** Interval at which the loaded versions are checked once the new version has traffic. */
const loadCheckIntervalMs = 10_000

/** Dependencies of the reconciler. */
export interface MoveReconcilerOptions {
  node: NodeId
  clock: Clock
  records: MoveRecordStore
  loadVersions: LoadVersions
  liveBackends: (declaration: TeamDeclaration) => Backend[]
  analysisOf: (record: MoveRecord) => CanaryAnalysis | undefined
}

/** Does the next due step of a team's move; called every second, or more often while a step is due, on the node that holds `duty`. */
export type ReconcileMove = (declaration: TeamDeclaration, duty: Duty) => Promise<void>

/** Creates the reconciler of a node. */
export function createMoveReconciler (options: MoveReconcilerOptions): ReconcileMove {
  const { node, clock, records, loadVersions } = options
  const nextLoadCheckAtMs = new Map<string, number>()

  function endOf (word: MoveEnd['word'], reason: EndReason, detail: string): MoveEnd {
    return createEnd(word, reason, detail, clock.wallMs())
  }

  async function change (record: MoveRecord, duty: Duty, changes: Partial<MoveRecord>): Promise<void> {
    const fencingNumber = duty.fencingNumber()
    if (fencingNumber === undefined) return
    await records.write({ ...record, ...changes, holder: node, fencingNumber })
  }

  /** Writes the record of a newly declared move; a move that has already ended does not begin again. */
  async function begin (declaration: TeamDeclaration, previous: MoveRecord | undefined, duty: Duty): Promise<void> {
    const { move, team } = declaration
    const fromVersion = effectiveVersion(declaration, previous)
    if (move === undefined || move.toVersion === fromVersion) return
    if (previous !== undefined && isStillDeclared(declaration, previous)) return
    const nowMs = clock.wallMs()
    const loadedBefore = previous?.end?.word === 'done' ? previous.loadedOn : []
    const live = new Set(options.liveBackends(declaration).map(backend => backend.id))
    const servesFrom = [...new Set([...loadedBefore, ...(previous?.servesFrom ?? [])])].filter(backend => live.has(backend))
    const isPast = nowMs >= move.deadlineAtMs
    await change({
      writeId: createId('wr', nowMs),
      move: createId<MoveId>('mv', nowMs),
      team,
      fromVersion,
      toVersion: move.toVersion,
      startedAtMs: nowMs,
      deadlineAtMs: move.deadlineAtMs,
      holder: node,
      fencingNumber: 0,
      servesFrom,
      loadedOn: [],
      step: 0,
      stepAtMs: nowMs,
      ...(isPast ? { end: endOf('taken-back', 'deadline-past', 'The deadline passed before the move could begin.') } : {})
    }, duty, {})
  }

  /** The end that applies at any step of the move, if any: a regression, the deadline or a changed declaration. */
  function dueEnd (declaration: TeamDeclaration, record: MoveRecord): MoveEnd | undefined {
    const brake = options.analysisOf(record)?.brake()
    if (brake !== undefined) return createRegressionEnd(brake, clock.wallMs())
    if (clock.wallMs() >= record.deadlineAtMs) {
      if (record.trafficAtMs !== undefined && promotionResultOf(declaration, record) !== 'good') {
        return endOf('taken-back', 'deadline-past', `"${record.toVersion}" was not shown to be as good as "${record.fromVersion}" before the deadline.`)
      }
      return endOf('taken-back', 'deadline-past', 'The result could not be written before the deadline.')
    }
    if (isStillDeclared(declaration, record)) return undefined
    const { move } = declaration
    if (move === undefined) return endOf('taken-back', 'withdrawn', `The move to "${record.toVersion}" was withdrawn.`)
    const now = `"${move.toVersion}" by ${new Date(move.deadlineAtMs).toISOString()}`
    const before = `"${record.toVersion}" by ${new Date(record.deadlineAtMs).toISOString()}`
    return endOf('taken-back', 'changed', `The declared move was changed from ${before} to ${now}.`)
  }

  async function checkLoads (declaration: TeamDeclaration, record: MoveRecord, duty: Duty): Promise<BackendId[]> {
    nextLoadCheckAtMs.set(record.team, clock.monotonicMs() + loadCheckIntervalMs)
    const backends = options.liveBackends(declaration)
    return await loadVersions(duty, backends, [record.fromVersion, record.toVersion], declaration.checksFencing)
  }

  async function loadNewVersion (declaration: TeamDeclaration, record: MoveRecord, duty: Duty): Promise<void> {
    const nowMs = clock.wallMs()
    if (nowMs >= commitAtMs(record)) {
      const detail = 'The new version was not loaded on all backend servers in time.'
      return await change(record, duty, { end: endOf('taken-back', 'not-loaded', detail) })
    }
    const loadedOn = await checkLoads(declaration, record, duty)
    const backends = options.liveBackends(declaration)
    const isLoaded = backends.length > 0 && backends.every(backend => loadedOn.includes(backend.id))
    if (isLoaded) await change(record, duty, { loadedOn, trafficAtMs: clock.wallMs(), step: 0, stepAtMs: clock.wallMs() })
  }

  /** Whether the new version has had enough attempts for the next step on every route with enough traffic. */
  function hasEnoughForStep (declaration: TeamDeclaration, record: MoveRecord): boolean {
    const analysis = options.analysisOf(record)
    if (analysis === undefined) return false
    const smallestShare = 0.015
    return declaration.routes.every(({ name }) => {
      const { newTotal, total } = analysis.attemptsOn(name)
      return newTotal >= minAttemptsPerStep || total * smallestShare < minAttemptsPerStep * 2
    })
  }

  /** Whether the new version has had enough attempts to end the move as done on every route with enough traffic. */
  function hasEnoughToFinish (declaration: TeamDeclaration, record: MoveRecord): boolean {
    const analysis = options.analysisOf(record)
    if (analysis === undefined) return false
    return declaration.routes.every(({ name }) => {
      const { newTotal, total } = analysis.attemptsOn(name)
      return newTotal >= minAttemptsToFinish || total < minAttemptsToFinish * 2
    })
  }

  /** Whether the new version may take over. That of a team without traffic has nothing to show. */
  function promotionResultOf (declaration: TeamDeclaration, record: MoveRecord): PromotionResult {
    const analysis = options.analysisOf(record)
    if (analysis === undefined || !hasEnoughToFinish(declaration, record)) return 'too-few-attempts'
    const hasTraffic = declaration.routes.some(({ name }) => analysis.attemptsOn(name).total >= minAttemptsToFinish * 2)
    return hasTraffic ? analysis.promotionVerdict(clock.wallMs()).result : 'good'
  }

  async function advanceStep (declaration: TeamDeclaration, record: MoveRecord, duty: Duty): Promise<void> {
    if (clock.monotonicMs() >= (nextLoadCheckAtMs.get(record.team) ?? 0)) {
      const ready = await checkLoads(declaration, record, duty)
      const loadedOn = [...new Set([...record.loadedOn, ...ready])]
      if (loadedOn.length > record.loadedOn.length) return await change(record, duty, { loadedOn })
    }
    if (clock.wallMs() < nextStepAtMs(record) || !hasEnoughForStep(declaration, record)) return
    // A doubtful version stays at its step, which expires to the smallest share, until more attempts or the deadline decide.
    if (options.analysisOf(record)?.isDoubtful() === true) return
    if (record.step < lastStepIndex) return await change(record, duty, { step: record.step + 1, stepAtMs: clock.wallMs() })
    const result = promotionResultOf(declaration, record)
    // The last step is renewed until there are enough attempts; if that fails, the move is taken back at the deadline.
    if (result === 'too-few-attempts') {
      if (clock.wallMs() >= stepRenewalAtMs(record)) await change(record, duty, { stepAtMs: clock.wallMs() })
      return
    }
    // A version that isn't shown to be good stays at the last step, too, which expires to the smallest share.
    if (result !== 'good') return
    await change(record, duty, { end: endOf('done', 'moved', `All traffic is on "${record.toVersion}".`) })
  }

  /** Unloads the version that no longer serves from every live backend server. */
  async function unload (declaration: TeamDeclaration, record: MoveRecord, duty: Duty): Promise<void> {
    if (clock.wallMs() < unloadAtMs(record, declaration.maxRequestMs)) return
    const version = record.end?.word === 'done' ? record.toVersion : record.fromVersion
    const backends = options.liveBackends(declaration)
    const ready = await loadVersions(duty, backends, [version], declaration.checksFencing)
    const isUnloaded = backends.every(backend => ready.includes(backend.id))
    const loadedOn = record.end?.word === 'done' ? [...new Set([...record.loadedOn, ...ready])] : record.loadedOn
    if (isUnloaded) await change(record, duty, { loadedOn, unloadedAtMs: clock.wallMs() })
  }

  return async (declaration, duty) => {
    if (duty.fencingNumber() === undefined) return
    const record = records.read(declaration.team)
    if (record === undefined) return await begin(declaration, undefined, duty)
    if (record.end !== undefined) {
      if (record.unloadedAtMs === undefined) return await unload(declaration, record, duty)
      return await begin(declaration, record, duty)
    }
    const end = dueEnd(declaration, record)
    if (end !== undefined) return await change(record, duty, { end })
    if (record.trafficAtMs === undefined) await loadNewVersion(declaration, record, duty)
    else await advanceStep(declaration, record, duty)
  }
}
