/** Encoding of what nodes tell one another about requests that crash backend servers, as compact CBOR arrays. */
import { toId } from '../ids/index.ts'
import type { AttemptId, BackendId, RequestFeature } from '../ids/index.ts'
import type { CrashedAttempt, RequestOrigin, QuarantineReport, QuarantineRecord } from './types.ts'

type WireCrash = [attempt: string, service: string, backend: string, startedAtMs: number | null, features: string[], hasStarted: boolean, crashedAtMs: number, inProgress?: number, origin?: RequestOrigin | null]
type WireRecord = [service: string, features: string[], isQuarantined: boolean, changedAtMs: number, sinceMs: number, untilMs: number, crashes: number, backends: string[], origin?: RequestOrigin | null]
/** Null when there is nothing to tell. */
export type WireQuarantine = [crashed: WireCrash[], answered: Array<[feature: string, since: number, before: number]>, trials: string[], records: WireRecord[]] | null

export function encodeQuarantineReport (report: QuarantineReport | undefined): WireQuarantine {
  if (report === undefined) return null
  const { crashed, answered, trials, records } = report
  if (crashed.length + answered.size + trials.length + records.length === 0) return null
  return [
    crashed.map(({ attempt, service, backend, backendStartedAtMs, features, hasStarted, crashedAtMs, inProgress, origin }) => [attempt, service, backend, backendStartedAtMs ?? null, [...features], hasStarted, crashedAtMs, inProgress, origin ?? null]),
    [...answered].map(([feature, { since, before }]) => [feature, since, before]),
    [...trials],
    records.map(({ service, features, state, changedAtMs, sinceMs, untilMs, crashes, backends, origin }) => [service, [...features], state === 'quarantined', changedAtMs, sinceMs, untilMs, crashes, [...backends], origin ?? null])
  ]
}

function decodeCrash ([attempt, service, backend, startedAtMs, features, hasStarted, crashedAtMs, inProgress = 1, origin]: WireCrash): CrashedAttempt {
  return {
    attempt: toId<AttemptId>(attempt),
    service,
    backend: toId<BackendId>(backend),
    backendStartedAtMs: startedAtMs ?? undefined,
    features: features.map(feature => toId<RequestFeature>(feature)),
    hasStarted,
    crashedAtMs,
    inProgress,
    ...(origin == null ? {} : { origin })
  }
}

function decodeRecord ([service, features, isQuarantined, changedAtMs, sinceMs, untilMs, crashes, backends, origin]: WireRecord): QuarantineRecord {
  return {
    service,
    features: features.map(feature => toId<RequestFeature>(feature)),
    state: isQuarantined ? 'quarantined' : 'lifted',
    changedAtMs,
    sinceMs,
    untilMs,
    crashes,
    backends: backends.map(backend => toId<BackendId>(backend)),
    ...(origin == null ? {} : { origin })
  }
}

export function decodeQuarantineReport (wire: WireQuarantine | undefined): QuarantineReport {
  const [crashed, answered, trials, records] = wire ?? [[], [], [], []]
  return {
    crashed: crashed.map(decodeCrash),
    answered: new Map(answered.map(([feature, since, before]) => [toId<RequestFeature>(feature), { since, before }])),
    trials,
    records: records.map(decodeRecord)
  }
}
