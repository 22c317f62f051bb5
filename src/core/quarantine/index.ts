/**
 * Keeps requests that crash backend servers from crashing one after the other. All
 * nodes share what they saw: which requests had no answer when a backend server
 * crashed, and which of them, or of the parts of their prompts, were answered since.
 * While a request or a combination of parts is suspected, few such requests are under
 * way; once it is certain, all nodes refuse them until a deadline, and then one is
 * sent as a trial.
 */
import { processorTimeMs } from '../clock/index.ts'
import { createAnswerRates } from './answer-rates.ts'
import { assessFeatures, hasAllFeatures, quarantineScore } from './assess.ts'
import { crashKey, createCrashEvidence } from './evidence.ts'
import { createQuarantineRecords } from './records.ts'
import { boundFeatures, featureLogFields, isRequestDigest } from './request-digest.ts'
import { explainRefusal } from './refusals.ts'
import { createSuspectGate } from './suspect-gate.ts'
import { createTrials } from './trials.ts'
import type { NodeId, RequestFeature } from '../ids/index.ts'
import type { Suspicion } from './assess.ts'
import type { Admittance, CrashedAttempt, LiveBackend, QuarantineReport, QuarantineRequest, Quarantine, QuarantineOptions, QuarantineRecord } from './types.ts'

export type * from './types.ts'
export { combinationKey } from './records.ts'
export { explainRefusal } from './refusals.ts'
export { digestRequest, isRequestDigest } from './request-digest.ts'
export { createStoredQuarantine, decodeQuarantine, encodeQuarantine, quarantineKey, toStoredRecord } from './stored-records.ts'
export { decodeQuarantineReport, encodeQuarantineReport } from './wire.ts'
export type { WireQuarantine } from './wire.ts'
export type { StoredQuarantine } from './stored-records.ts'

/** Time for which prompts are refused at first; it doubles after each trial that crashes its backend server. */
const firstQuarantineMs = 10 * 60 * 1_000
const maxQuarantineMs = 4 * 60 * 60 * 1_000
/** The same for one request, whose refusal concerns no others. */
const firstRequestQuarantineMs = 60 * 60 * 1_000
const maxRequestQuarantineMs = 24 * 60 * 60 * 1_000
/** Time after the begin of a quarantine within which open attempts may still crash their backend servers. */
const openAttemptsMs = 1_000
/** Time for which the end of a quarantine is remembered, so that no older record or evidence brings it back. */
const liftedRecordMs = 10 * 60 * 1_000
/** Longest wait for the outcome of other requests with the same features; usual times to the first token are shorter. */
const maxWaitMs = 600
const waitPollMs = 20
/** Time after a crash in which the servers of a service may be starting again, so that the last one must not be risked. */
const restartMs = 10_000
/** The same for one backend server that doesn't report its start, so that only its address is known. */
const unknownRestartMs = 1_000
/** Maximum number of requests that wait at a node. */
const maxWaiting = 64
/** Time after which a request that was refused on suspicion may be sent again; by then the suspicion is mostly settled. */
const suspectedRetryMs = 2_000
/** Shortest time between two assessments, in ms and as a multiple of the processor time of one, which bounds their share of it. */
const assessmentIntervalMs = 50
const assessmentIntervalRatio = 20
/** Assessments of new crashes within that time. */
const maxUrgentAssessments = 8
/** Longest time between two assessments while anything is suspected. */
const expiryCheckMs = 1_000
/** Limits of a report and of a digest, so that each fits into a few packets. */
const maxReportedAttempts = 16
const maxDigestAttempts = 24
const maxRecordedBackends = 5

/** Creates the quarantine of one node. */
export function createQuarantine (options: QuarantineOptions): Quarantine {
  const { clock, log, metrics, processorMs = processorTimeMs } = options
  const evidence = createCrashEvidence(clock)
  const records = createQuarantineRecords(clock)
  const trials = createTrials(options)
  const gate = createSuspectGate(trials)
  const rates = createAnswerRates(clock.monotonicMs)
  let suspicions: Suspicion[] = []
  let assessedRevision = -1
  let assessedAtMs = -Infinity
  let assessedCount = 0
  let nextAssessmentAtMs = -Infinity
  let urgentAssessments = 0
  /** Monotonic time until which evidence may be too new for a decision. */
  let unsettledUntilMs = -Infinity
  let waiting = 0
  const listeners: Array<() => void> = []

  const context = {
    answered: evidence.answered,
    answersPerSecond: (service: string) => rates.read(service) * options.nodeCount(),
    isExplainedByRequest: (crashed: CrashedAttempt) => quarantinedRequests(crashed).length > 0
  }

  function apply (record: QuarantineRecord, cause: string): void {
    if (!records.merge(record)) return
    // The end of a quarantine makes earlier crashes irrelevant.
    assessedRevision = -1
    const { service, features, state, sinceMs, untilMs, crashes, backends, origin } = record
    metrics.count('prompt_quarantine_changes_total', { state })
    if (state === 'lifted') {
      // The evidence is remembered longer than the lifted record.
      const lifted = records.lifted()
      evidence.forget(attempt => isBeforeLift(attempt, lifted))
      return log('promptReleased', { service, ...featureLogFields(features), cause })
    }
    log('promptQuarantined', { service, ...featureLogFields(features), cause, ...origin, sinceMs, untilMs, crashes, backends })
    for (const listener of listeners) listener()
  }

  function lift (record: QuarantineRecord, cause: string): void {
    const nowMs = clock.wallMs()
    apply({ ...record, state: 'lifted', changedAtMs: Math.max(nowMs, record.changedAtMs + 1), untilMs: nowMs + liftedRecordMs }, cause)
  }

  /** Whether a quarantine was lifted after the crash, which makes the crash irrelevant. */
  function isBeforeLift ({ service, features, crashedAtMs }: CrashedAttempt, lifted: ReturnType<typeof records.lifted>): boolean {
    return lifted.some(({ record, liftedAtMs }) => record.service === service && crashedAtMs <= liftedAtMs && hasAllFeatures(features, record.features))
  }

  /** Whether a crash occurred while quarantined parts crashed backend servers. A node without all evidence takes them for its cause, because it may not know the attempt. */
  function isInQuarantinedPeriod ({ service, crashedAtMs }: CrashedAttempt, record: QuarantineRecord): boolean {
    return record.service === service && crashedAtMs >= record.sinceMs && crashedAtMs <= record.changedAtMs + openAttemptsMs
  }

  /** The quarantined whole requests that are the cause of a crash. */
  function quarantinedRequests ({ service, features }: CrashedAttempt): QuarantineRecord[] {
    return records.matching(service, features).filter(record => record.features.some(isRequestDigest))
  }

  /** The attempts whose crashes no quarantine of parts explains. */
  function unexplainedAttempts (minAgeMs?: number): CrashedAttempt[] {
    const lifted = records.lifted()
    const quarantined = records.list().filter(({ state, features }) => state === 'quarantined' && !(options.isDeciding() && features.some(isRequestDigest)))
    const attempts = evidence.attempts(minAgeMs).filter(attempt => !isBeforeLift(attempt, lifted))
    if (quarantined.length === 0) return attempts
    const explained = new Set(attempts.flatMap(attempt => {
      const hasCause = quarantined.some(record => {
        return (record.service === attempt.service && hasAllFeatures(attempt.features, record.features)) || (!options.isDeciding() && isInQuarantinedPeriod(attempt, record))
      })
      return hasCause ? [crashKey(attempt)] : []
    }))
    return attempts.filter(attempt => !explained.has(crashKey(attempt)))
  }

  function quarantine ({ service, features, crashes, backends, firstCrashAtMs, origin }: Suspicion): void {
    if (records.matching(service, features).length > 0) return
    const nowMs = clock.wallMs()
    apply({
      service,
      features,
      state: 'quarantined',
      changedAtMs: Math.max(nowMs, (records.get(service, features)?.changedAtMs ?? 0) + 1),
      sinceMs: firstCrashAtMs,
      untilMs: nowMs + (features.some(isRequestDigest) ? firstRequestQuarantineMs : firstQuarantineMs),
      crashes,
      backends: backends.slice(0, maxRecordedBackends),
      ...(origin === undefined ? {} : { origin })
    }, 'crashes')
  }

  /** Ends quarantines whose features were all answered since, unless the crashes still outweigh that. */
  function liftRefuted (): void {
    const lifted = records.lifted()
    for (const record of records.list()) {
      if (record.state === 'lifted' || !record.features.every(feature => evidence.answered(feature).since > 0)) continue
      const attempts = evidence.attempts().filter(attempt => attempt.service === record.service && hasAllFeatures(attempt.features, record.features) && !isBeforeLift(attempt, lifted))
      const isConfirmed = assessFeatures(attempts, context).some(({ features, score }) => score >= quarantineScore && hasAllFeatures(record.features, features))
      if (attempts.length > 0 && !isConfirmed) lift(record, 'answered')
    }
  }

  function assess (): void {
    const nowMs = clock.monotonicMs()
    // Suspicions end with their evidence, which expires without a change that the revision shows.
    const mayHaveExpired = suspicions.length > 0 && nowMs >= assessedAtMs + expiryCheckMs
    const isUpToDate = evidence.revision() === assessedRevision && assessedAtMs >= unsettledUntilMs && !mayHaveExpired
    const isDue = nowMs >= nextAssessmentAtMs
    const isUrgent = evidence.addedCount() !== assessedCount && urgentAssessments < maxUrgentAssessments
    if (isUpToDate || !(isDue || isUrgent)) return
    urgentAssessments = isDue ? 0 : urgentAssessments + 1
    assessedCount = evidence.addedCount()
    if (evidence.revision() !== assessedRevision) unsettledUntilMs = nowMs + options.reportDelayMs()
    assessedRevision = evidence.revision()
    assessedAtMs = nowMs
    const processorBeforeMs = processorMs()
    liftRefuted()
    suspicions = assessFeatures(unexplainedAttempts(), context)
    if (isDue) nextAssessmentAtMs = nowMs + Math.max(assessmentIntervalMs, assessmentIntervalRatio * (processorMs() - processorBeforeMs))
    if (!options.isDeciding() || !suspicions.some(({ isCertain }) => isCertain)) return
    // Another node's evidence may name another cause, so a decision waits until all of it has arrived.
    for (const suspicion of assessFeatures(unexplainedAttempts(options.reportDelayMs()), context)) {
      if (suspicion.isCertain) quarantine(suspicion)
    }
  }

  function find (service: string, features: readonly RequestFeature[]): QuarantineRecord | undefined {
    if (features.length === 0) return undefined
    assess()
    return records.matching(service, features).reduce<QuarantineRecord | undefined>((latest, record) => latest === undefined || record.untilMs > latest.untilMs ? record : latest, undefined)
  }

  /** The suspicions that limit a request: it has all of their features, or one of several parts and the crashes are beyond doubt. */
  function suspicionsOf (service: string, features: readonly RequestFeature[]): Suspicion[] {
    return suspicions.filter(suspicion => {
      return suspicion.service === service && (hasAllFeatures(features, suspicion.features) || (suspicion.score >= quarantineScore && suspicion.features.some(feature => features.includes(feature))))
    })
  }

  function refuse (kind: 'quarantined' | 'suspected', features: readonly RequestFeature[], retryAtMs: number): Admittance {
    const detail = explainRefusal(kind, features)
    return { kind: 'refused', reason: `${features.some(isRequestDigest) ? 'request' : 'prompt'}-${kind}`, detail, retryAtMs }
  }

  /** Whether a service lost backend servers a short time ago and has only one left, as far as this node knows. */
  function isLastBackend ({ service, liveBackends }: QuarantineRequest): boolean {
    const oldestMs = clock.wallMs() - restartMs
    const crashed = evidence.attempts().filter(attempt => attempt.service === service && attempt.crashedAtMs >= oldestMs)
    if (crashed.length === 0) return false
    const hasCrashed = ({ id, startedAtMs }: LiveBackend): boolean => crashed.some(({ backend, backendStartedAtMs, crashedAtMs }) => {
      return backend === id && (startedAtMs === undefined || backendStartedAtMs === undefined ? crashedAtMs >= clock.wallMs() - unknownRestartMs : backendStartedAtMs === startedAtMs)
    })
    return liveBackends().filter(live => !hasCrashed(live)).length <= 1
  }

  async function admit (request: QuarantineRequest): Promise<Admittance> {
    const { service, isRetryAfterCrash, signal } = request
    const features = boundFeatures(request.features)
    const latestMs = clock.monotonicMs() + maxWaitMs
    for (;;) {
      const record = find(service, features)
      if (record !== undefined) {
        const isTrial = clock.wallMs() >= record.untilMs && !isRetryAfterCrash && await options.claimTrial(record)
        return isTrial ? { kind: 'admitted', release: () => {} } : refuse('quarantined', record.features, Math.max(record.untilMs, clock.wallMs() + suspectedRetryMs))
      }
      const decision = gate.take(features, suspicionsOf(service, features), () => ({ isRetryAfterCrash, isLastBackend: isLastBackend(request) }))
      if (decision.kind === 'taken') {
        if (suspicions.length > 0) options.onUrgent?.()
        return { kind: 'admitted', release: decision.release }
      }
      if (decision.isFinal || clock.monotonicMs() >= latestMs || waiting >= maxWaiting || signal.aborted) {
        return refuse('suspected', decision.suspicion.features, clock.wallMs() + suspectedRetryMs)
      }
      waiting += 1
      await clock.sleep(waitPollMs, signal)
      waiting -= 1
    }
  }

  function recordCrash (crashed: CrashedAttempt): void {
    const features = boundFeatures(crashed.features)
    metrics.count('attempts_crashed_total', { service: crashed.service, phase: crashed.hasStarted ? 'started' : 'waiting' })
    const { features: _, origin, ...fields } = crashed
    log('backendCrashed', { ...fields, ...origin, ...featureLogFields(features) })
    for (const record of records.matching(crashed.service, features)) extendAfterTrial(record)
    evidence.add({ ...crashed, features }, true)
    assess()
    options.onUrgent?.()
  }

  function extendAfterTrial (record: QuarantineRecord): void {
    const nowMs = clock.wallMs()
    if (nowMs < record.untilMs) return
    const maxMs = record.features.some(isRequestDigest) ? maxRequestQuarantineMs : maxQuarantineMs
    const forMs = Math.min(maxMs, 2 * (record.untilMs - record.changedAtMs))
    apply({ ...record, changedAtMs: nowMs, untilMs: nowMs + forMs, crashes: record.crashes + 1 }, 'trial')
  }

  function recordAnswer (service: string, features: readonly RequestFeature[]): void {
    rates.record(service)
    if (features.length === 0) return
    evidence.recordAnswer(boundFeatures(features))
    for (const record of records.matching(service, features)) if (clock.wallMs() >= record.untilMs) lift(record, 'trial')
  }

  function merge (source: NodeId, { crashed, answered, trials: underWay, records: received }: QuarantineReport): void {
    for (const attempt of crashed) evidence.add(attempt, false)
    evidence.setAnswered(source, answered)
    trials.setUnderWay(source, underWay)
    for (const record of received) apply(record, 'other-node')
    assess()
  }

  return {
    admit,
    isQuiet: service => !evidence.hasService(service) && !records.list().some(record => record.service === service),
    find,
    recordCrash,
    recordAnswer,
    report: () => {
      assess()
      return { crashed: evidence.recent({ isOwnOnly: true, max: maxReportedAttempts }), answered: evidence.ownAnswered(), trials: gate.underWay(suspicions), records: records.forReport() }
    },
    digestFor: node => ({
      crashed: evidence.recent({ isOwnOnly: false, max: maxDigestAttempts }),
      answered: evidence.answeredExcept(node),
      trials: trials.underWay({ exceptNode: node }),
      records: records.forReport()
    }),
    merge,
    onQuarantined: listener => { listeners.push(listener) },
    records: records.list,
    mergeRecords: received => {
      for (const record of received) apply(record, 'key-value')
    }
  }
}
