/** Encoding of what nodes tell one another about prompts that crash backend servers, as compact CBOR arrays. */
import { toId } from '../ids/index.ts'
import type { AttemptId, BackendId, PromptPartId } from '../ids/index.ts'
import type { CrashedAttempt, PromptReport, QuarantineRecord } from './types.ts'

type WireCrash = [attempt: string, service: string, backend: string, startedAtMs: number | null, parts: string[], hasStarted: boolean, crashedAtMs: number]
type WireRecord = [service: string, parts: string[], isQuarantined: boolean, changedAtMs: number, sinceMs: number, untilMs: number, crashes: number, backends: string[]]
/** Null when there is nothing to tell. */
export type WirePrompts = [crashed: WireCrash[], answered: Array<[part: string, since: number, before: number]>, trials: string[], records: WireRecord[]] | null

export function encodePrompts (report: PromptReport | undefined): WirePrompts {
  if (report === undefined) return null
  const { crashed, answered, trials, records } = report
  if (crashed.length + answered.size + trials.length + records.length === 0) return null
  return [
    crashed.map(({ attempt, service, backend, backendStartedAtMs, parts, hasStarted, crashedAtMs }) => [attempt, service, backend, backendStartedAtMs ?? null, [...parts], hasStarted, crashedAtMs]),
    [...answered].map(([part, { since, before }]) => [part, since, before]),
    [...trials],
    records.map(({ service, parts, state, changedAtMs, sinceMs, untilMs, crashes, backends }) => [service, [...parts], state === 'quarantined', changedAtMs, sinceMs, untilMs, crashes, [...backends]])
  ]
}

function decodeCrash ([attempt, service, backend, startedAtMs, parts, hasStarted, crashedAtMs]: WireCrash): CrashedAttempt {
  return {
    attempt: toId<AttemptId>(attempt),
    service,
    backend: toId<BackendId>(backend),
    backendStartedAtMs: startedAtMs ?? undefined,
    parts: parts.map(part => toId<PromptPartId>(part)),
    hasStarted,
    crashedAtMs
  }
}

function decodeRecord ([service, parts, isQuarantined, changedAtMs, sinceMs, untilMs, crashes, backends]: WireRecord): QuarantineRecord {
  return {
    service,
    parts: parts.map(part => toId<PromptPartId>(part)),
    state: isQuarantined ? 'quarantined' : 'lifted',
    changedAtMs,
    sinceMs,
    untilMs,
    crashes,
    backends: backends.map(backend => toId<BackendId>(backend))
  }
}

export function decodePrompts (wire: WirePrompts | undefined): PromptReport {
  const [crashed, answered, trials, records] = wire ?? [[], [], [], []]
  return {
    crashed: crashed.map(decodeCrash),
    answered: new Map(answered.map(([part, since, before]) => [toId<PromptPartId>(part), { since, before }])),
    trials,
    records: records.map(decodeRecord)
  }
}
