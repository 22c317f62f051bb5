/** Sums that several sources report, with their totals. Every sum halves with the half-life, wherever it is stored. */
import type { Clock } from '../clock/index.ts'

/** Half-life of a sample. About 100 samples of each engine count at the users' load, and a slow period of 0.6 s is a small part of them. */
const halfLifeMs = 15_000
/** Number of samples below which sums are discarded. */
const minSamples = 0.05

/** Sums by source and key; the first sum counts samples. */
export interface DecayedSums<Sums extends readonly number[]> {
  /** Replaces the sums of a source. */
  set: (source: string, key: string, sums: Sums) => void
  add: (source: string, key: string, sums: Sums) => void
  /** Current sums of one source. */
  read: (source: string, key: string) => Sums | undefined
  /** Current sums of all sources, or of all except one. */
  total: (key: string, except?: string) => Sums | undefined
  removeSource: (source: string) => void
  /** Keys of one source, or of all; discards those without samples. */
  keys: (source?: string) => string[]
}

interface Entry<Sums> {
  sums: Sums
  atMs: number
}

/** Creates empty sums. */
export function createDecayedSums<Sums extends readonly number[]> (clock: Clock): DecayedSums<Sums> {
  const totals = new Map<string, Entry<Sums>>()
  const sources = new Map<string, Map<string, Entry<Sums>>>()

  function scale (sums: Sums, factor: number): Sums {
    return sums.map(sum => sum * factor) as readonly number[] as Sums
  }

  function decayOf ({ atMs }: Entry<Sums>): number {
    return 0.5 ** ((clock.monotonicMs() - atMs) / halfLifeMs)
  }

  function hasSamples ([samples = 0]: Sums, factor = 1): boolean {
    return samples * factor >= minSamples
  }

  function current (entry: Entry<Sums> | undefined): Sums | undefined {
    if (entry === undefined) return undefined
    const factor = decayOf(entry)
    return hasSamples(entry.sums, factor) ? scale(entry.sums, factor) : undefined
  }

  function plus (a: Sums | undefined, b: Sums | undefined, sign: 1 | -1 = 1): Sums | undefined {
    if (a === undefined || b === undefined) return a ?? (b === undefined ? undefined : scale(b, sign))
    return a.map((sum, index) => sum + sign * (b[index] ?? 0)) as readonly number[] as Sums
  }

  function store (entries: Map<string, Entry<Sums>>, key: string, sums: Sums | undefined): void {
    if (sums === undefined || !hasSamples(sums)) entries.delete(key)
    else entries.set(key, { sums, atMs: clock.monotonicMs() })
  }

  function read (source: string, key: string): Sums | undefined {
    return current(sources.get(source)?.get(key))
  }

  function replace (source: string, key: string, sums: Sums | undefined): void {
    const entries = sources.get(source) ?? new Map<string, Entry<Sums>>()
    sources.set(source, entries)
    store(totals, key, plus(plus(current(totals.get(key)), sums), current(entries.get(key)), -1))
    store(entries, key, sums)
  }

  function keysOf (entries: Map<string, Entry<Sums>>): string[] {
    for (const [key, entry] of entries) if (!hasSamples(entry.sums, decayOf(entry))) entries.delete(key)
    return [...entries.keys()]
  }

  return {
    set: replace,
    add: (source, key, sums) => replace(source, key, plus(read(source, key), sums)),
    read,
    total: (key, except) => {
      const total = current(totals.get(key))
      const rest = except === undefined || total === undefined ? total : plus(total, read(except, key), -1)
      return rest === undefined || !hasSamples(rest) ? undefined : rest
    },
    removeSource: source => {
      for (const key of sources.get(source)?.keys() ?? []) replace(source, key, undefined)
      sources.delete(source)
    },
    keys: source => keysOf(source === undefined ? totals : sources.get(source) ?? new Map<string, Entry<Sums>>())
  }
}
