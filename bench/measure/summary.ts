/** What a trial showed, in the units that the users measure. */
import { build } from 'hdr-histogram-js'
import type { RefusalReason, RetryReason } from '../../src/core/outcomes/index.ts'
import { target } from './node.ts'
import type { RequestRecord } from './node.ts'
import type { TrialOptions } from './types.ts'

/** Quantiles of a latency, in milliseconds. */
export interface Quantiles {
  p50: number
  p95: number
  p99: number
}

/** One trial, as a line of the report. */
export interface TrialSummary {
  workload: string
  policy: string
  load: number
  seconds: number
  seed: number
  losesDomain: boolean
  offered: number
  finished: number
  /** Requests whose answer met the latency target and its deadline. */
  inTarget: number
  /** Answers that missed the latency target or their deadline, and requests that never ended. */
  late: number
  refused: Partial<Record<RefusalReason, number>>
  retried: Partial<Record<RetryReason, number>>
  firstTokenMs: Quantiles
  betweenTokensMs: Quantiles
  /** Whether 95 in 100 of the accepted requests met each part of the target, and no more than 1 in 100 was refused. */
  meetsTarget: boolean
  computedTokens: number
  recomputedTokens: number
  /** Jain's index over the teams' shares of requests answered within the target; 1 is even. */
  fairness: number
  /** Price of the fleet for the trial, divided by the requests answered within the target. */
  milliEuroPerRequest: number
}

/** What a summary is made from. */
export interface TrialFigures {
  options: TrialOptions
  records: readonly RequestRecord[]
  offered: number
  computedTokens: number
  recomputedTokens: number
  fleetMilliEuro: number
}

const targetShare = 0.95
const maxRefusedShare = 0.01

function quantiles (values: readonly number[]): Quantiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  for (const value of values) histogram.recordValue(Math.max(1, Math.round(value * 1000)))
  const at = (percentile: number): number => values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / 1000
  return { p50: at(50), p95: at(95), p99: at(99) }
}

function countBy<Key extends string> (keys: readonly Key[]): Partial<Record<Key, number>> {
  const counts: Partial<Record<Key, number>> = {}
  for (const key of keys) counts[key] = (counts[key] ?? 0) + 1
  return counts
}

function isInTarget (record: RequestRecord): boolean {
  if (!record.finished || record.pastDeadline) return false
  const { firstTokenMs = Infinity, betweenTokensMs = Infinity } = record
  return firstTokenMs <= target.firstTokenMs && betweenTokensMs <= target.betweenTokensMs
}

/** R. Jain, D. Chiu, W. Hawe, DEC Research Report TR-301, 1984. */
function jainIndex (values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0)
  const squares = values.reduce((total, value) => total + value * value, 0)
  return squares === 0 ? 0 : sum * sum / (values.length * squares)
}

function teamShares (records: readonly RequestRecord[]): number[] {
  const teams = new Map<number, { good: number, all: number }>()
  for (const record of records) {
    const known = teams.get(record.teamIndex) ?? { good: 0, all: 0 }
    teams.set(record.teamIndex, { good: known.good + (isInTarget(record) ? 1 : 0), all: known.all + 1 })
  }
  return [...teams.values()].map(({ good, all }) => good / all)
}

/** Sums a trial up. */
export function summarise (figures: TrialFigures): TrialSummary {
  const { options, records, offered } = figures
  const { workload, policy, load, seconds, seed, losesDomain } = options
  const finished = records.filter(record => record.finished)
  const refused = records.filter(record => record.refused !== undefined)
  const inTarget = records.filter(isInTarget).length
  const accepted = offered - refused.length
  const firstTokens = records.flatMap(({ firstTokenMs }) => firstTokenMs ?? [])
  const gaps = records.flatMap(({ betweenTokensMs }) => betweenTokensMs ?? [])
  const shareWithin = (values: readonly number[], bound: number): number => {
    return values.filter(value => value <= bound).length / Math.max(1, accepted)
  }
  const meetsLatency = shareWithin(firstTokens, target.firstTokenMs) >= targetShare && shareWithin(gaps, target.betweenTokensMs) >= targetShare
  return {
    workload: workload.name,
    policy,
    load,
    seconds,
    seed,
    losesDomain,
    offered,
    finished: finished.length,
    inTarget,
    late: accepted - inTarget,
    refused: countBy(refused.flatMap(record => record.refused ?? [])),
    retried: countBy(records.flatMap(({ retries }) => retries)),
    firstTokenMs: quantiles(firstTokens),
    betweenTokensMs: quantiles(gaps),
    meetsTarget: meetsLatency && refused.length <= maxRefusedShare * offered,
    computedTokens: figures.computedTokens,
    recomputedTokens: figures.recomputedTokens,
    fairness: jainIndex(teamShares(records)),
    milliEuroPerRequest: figures.fleetMilliEuro / Math.max(1, inTarget)
  }
}
