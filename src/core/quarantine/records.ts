/** The quarantine records that a node knows. Records of several nodes are merged by the time of their latest change, so that all nodes end with the same ones. */
import { hasAllFeatures } from './assess.ts'
import type { Clock } from '../clock/index.ts'
import type { RequestFeature } from '../ids/index.ts'
import type { QuarantineRecord } from './types.ts'

/** The records of a node. */
export interface QuarantineRecords {
  /** Adds or replaces a record unless a later one is known; returns whether it did. */
  merge: (record: QuarantineRecord) => boolean
  /** The records under which requests with these features are refused. */
  matching: (service: string, features: readonly RequestFeature[]) => QuarantineRecord[]
  get: (service: string, features: readonly RequestFeature[]) => QuarantineRecord | undefined
  list: () => QuarantineRecord[]
  /** The lifted records, with the wall time of this node up to which they make crashes irrelevant; a node with a fast clock may have written them. */
  lifted: () => Array<{ record: QuarantineRecord, liftedAtMs: number }>
  /** Records for a report: those that changed a short time ago, and some of the others in turn. */
  forReport: () => QuarantineRecord[]
}

/** Bound of the memory and of the stored value. */
const maxRecords = 64
/** Time over which every report repeats a changed record. */
const repeatMs = 3_000
/** Time after its deadline at which a record is deleted, if no request came that could be its trial. */
const maxIdleMs = 24 * 60 * 60 * 1_000
/** Number of other records in each report. */
const recordsInTurn = 2

/** Name of a combination of features of a service's requests. */
export function combinationKey (service: string, features: readonly string[]): string {
  return `${service}/${features.join('+')}`
}

/** Creates an empty set of records. */
export function createQuarantineRecords (clock: Clock): QuarantineRecords {
  const records = new Map<string, { record: QuarantineRecord, knownSinceMs: number, knownAtMs: number }>()
  let turn = 0

  function removeExpired (): void {
    for (const [key, { record }] of records) {
      const keptMs = record.state === 'lifted' ? 0 : maxIdleMs
      if (clock.wallMs() >= record.untilMs + keptMs) records.delete(key)
    }
  }

  function merge (record: QuarantineRecord): boolean {
    const key = combinationKey(record.service, record.features)
    const before = records.get(key)?.record
    if (record.features.length === 0 || (before !== undefined && before.changedAtMs >= record.changedAtMs)) return false
    removeExpired()
    records.delete(key)
    records.set(key, { record, knownSinceMs: clock.monotonicMs(), knownAtMs: clock.wallMs() })
    const [oldest] = records.keys()
    if (records.size > maxRecords && oldest !== undefined) records.delete(oldest)
    return true
  }

  return {
    merge,
    matching: (service, features) => [...records.values()].flatMap(({ record }) => {
      return record.state === 'quarantined' && record.service === service && hasAllFeatures(features, record.features) ? [record] : []
    }),
    get: (service, features) => records.get(combinationKey(service, features))?.record,
    list: () => {
      removeExpired()
      return [...records.values()].map(({ record }) => record)
    },
    lifted: () => {
      removeExpired()
      return [...records.values()].flatMap(({ record, knownAtMs }) => {
        return record.state === 'lifted' ? [{ record, liftedAtMs: Math.min(record.changedAtMs, knownAtMs) }] : []
      })
    },
    forReport: () => {
      removeExpired()
      const oldestMs = clock.monotonicMs() - repeatMs
      const all = [...records.values()]
      const changed = all.filter(({ knownSinceMs }) => knownSinceMs >= oldestMs)
      const others = all.filter(({ knownSinceMs }) => knownSinceMs < oldestMs)
      turn += recordsInTurn
      const inTurn = Array.from({ length: Math.min(recordsInTurn, others.length) }, (_, index) => others[(turn + index) % others.length])
      return [...changed, ...inTurn.filter(entry => entry !== undefined)].map(({ record }) => record)
    }
  }
}
