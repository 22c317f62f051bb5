/** Encoding of limit reports as compact arrays for the datagrams between nodes. */
import { toId } from '../ids/index.ts'
import { readFields, readList, readNumber, readOptional, readText } from '../wire/index.ts'
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

/** Decodes what a node reports; throws if a value is of another kind. */
export function decodeLimits (wire: unknown): LimitReport | undefined {
  if (wire === undefined || wire === null) return undefined
  const [limits, demands, shares] = readFields(wire)
  return {
    limits: readList(limits, item => {
      const [backend, startedAtMs, perSecond, sentAgeMs, readAgeMs] = readFields(item)
      return { backend: toId<BackendId>(readText(backend)), startedAtMs: readOptional(startedAtMs, readNumber), perSecond: readOptional(perSecond, readNumber), sentAgeMs: readNumber(sentAgeMs), readAgeMs: readNumber(readAgeMs) }
    }),
    demands: new Map(readList(demands, item => {
      const [service, perSecond] = readFields(item)
      return [readText(service), readNumber(perSecond)]
    })),
    shares: readOptional(shares, all => readList(all, item => {
      const [backend, startedAtMs, ratio, burst] = readFields(item)
      return { backend: toId<BackendId>(readText(backend)), startedAtMs: readOptional(startedAtMs, readNumber), ratio: readNumber(ratio), burst: readNumber(burst) }
    }))
  }
}
