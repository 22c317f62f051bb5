/** Encoding of what nodes tell one another about requests that crash backend servers, as compact CBOR arrays. */
import { toId } from '../ids/index.ts'
import { readBoolean, readFields, readList, readNumber, readOptional, readText } from '../wire/index.ts'
import type { AttemptId, BackendId, RequestFeature, TeamId } from '../ids/index.ts'
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

function readFeatures (value: unknown): RequestFeature[] {
  return readList(value, feature => toId<RequestFeature>(readText(feature)))
}

/** The origin of a request, as a field that is left out when it is missing. */
function readOrigin (value: unknown): { origin?: RequestOrigin } {
  if (typeof value !== 'object' || value === null) return {}
  const { team, route } = value as Record<string, unknown>
  return { origin: { ...(team === undefined ? {} : { team: toId<TeamId>(readText(team)) }), route: readText(route) } }
}

function decodeCrash (wire: unknown): CrashedAttempt {
  const [attempt, service, backend, startedAtMs, features, hasStarted, crashedAtMs, inProgress, origin] = readFields(wire)
  return {
    attempt: toId<AttemptId>(readText(attempt)),
    service: readText(service),
    backend: toId<BackendId>(readText(backend)),
    backendStartedAtMs: readOptional(startedAtMs, readNumber),
    features: readFeatures(features),
    hasStarted: readBoolean(hasStarted),
    crashedAtMs: readNumber(crashedAtMs),
    inProgress: readOptional(inProgress, readNumber) ?? 1,
    ...readOrigin(origin)
  }
}

function decodeRecord (wire: unknown): QuarantineRecord {
  const [service, features, isQuarantined, changedAtMs, sinceMs, untilMs, crashes, backends, origin] = readFields(wire)
  return {
    service: readText(service),
    features: readFeatures(features),
    state: readBoolean(isQuarantined) ? 'quarantined' : 'lifted',
    changedAtMs: readNumber(changedAtMs),
    sinceMs: readNumber(sinceMs),
    untilMs: readNumber(untilMs),
    crashes: readNumber(crashes),
    backends: readList(backends, backend => toId<BackendId>(readText(backend))),
    ...readOrigin(origin)
  }
}

/** Decodes what a node reports; throws if a value is of another kind. */
export function decodeQuarantineReport (wire: unknown): QuarantineReport {
  const [crashed, answered, trials, records] = readFields(wire ?? [[], [], [], []])
  return {
    crashed: readList(crashed, decodeCrash),
    answered: new Map(readList(answered, item => {
      const [feature, since, before] = readFields(item)
      return [toId<RequestFeature>(readText(feature)), { since: readNumber(since), before: readNumber(before) }]
    })),
    trials: readList(trials, readText),
    records: readList(records, decodeRecord)
  }
}
