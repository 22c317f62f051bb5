/** Encoding of limit reports as compact arrays for the datagrams between nodes. */
import { toId } from '../ids/index.ts'
import type { BackendId } from '../ids/index.ts'
import type { LimitReport } from './types.ts'

type WireLimit = [backend: string, startedAtMs: number | null, perSecond: number | null, sentAgeMs: number, readAgeMs: number]
type WireShare = [backend: string, startedAtMs: number | null, ratio: number, burst: number]
export type WireLimits = [limits: WireLimit[], demands: Array<[service: string, perSecond: number]>, shares: WireShare[] | null]

export function encodeLimits (report: LimitReport | undefined): WireLimits | null {
  if (report === undefined) return null
  return [
    report.limits.map(({ backend, startedAtMs, perSecond, sentAgeMs, readAgeMs }) => [backend, startedAtMs ?? null, perSecond ?? null, Math.round(sentAgeMs), Math.round(readAgeMs)]),
    [...report.demands],
    report.shares?.map(({ backend, startedAtMs, ratio, burst }) => [backend, startedAtMs ?? null, ratio, burst]) ?? null
  ]
}

export function decodeLimits (wire: WireLimits | null | undefined): LimitReport | undefined {
  if (wire === undefined || wire === null) return undefined
  const [limits, demands, shares] = wire
  return {
    limits: limits.map(([backend, startedAtMs, perSecond, sentAgeMs, readAgeMs]) => ({ backend: toId<BackendId>(backend), startedAtMs: startedAtMs ?? undefined, perSecond: perSecond ?? undefined, sentAgeMs, readAgeMs })),
    demands: new Map(demands),
    shares: shares?.map(([backend, startedAtMs, ratio, burst]) => ({ backend: toId<BackendId>(backend), startedAtMs: startedAtMs ?? undefined, ratio, burst })) ?? undefined
  }
}
