/**
 * A clock that jumps to the next event, so that a measurement is the same on a
 * busy machine and takes less than its own time. It differs from the tests'
 * manual clock in keeping its sleepers in a heap.
 */
import type { Clock } from '../../src/core/clock/index.ts'

interface Sleeper {
  wakeAtMs: number
  order: number
  wake: (() => void) | undefined
}

/** A clock with the loop that moves it. */
export interface VirtualClock extends Clock {
  /** Moves on from event to event until the time has come. */
  runUntil: (endAtMs: number) => Promise<void>
}

const startAtMs = 1_700_000_000_000

function isBefore (a: Sleeper, b: Sleeper): boolean {
  return a.wakeAtMs < b.wakeAtMs || (a.wakeAtMs === b.wakeAtMs && a.order < b.order)
}

/** A binary heap, earliest first. */
function createHeap () {
  const items: Sleeper[] = []

  function swap (a: number, b: number): void {
    const held = items[a] as Sleeper
    items[a] = items[b] as Sleeper
    items[b] = held
  }

  function push (item: Sleeper): void {
    items.push(item)
    let at = items.length - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!isBefore(items[at] as Sleeper, items[parent] as Sleeper)) return
      swap(at, parent)
      at = parent
    }
  }

  function sink (): void {
    let at = 0
    for (;;) {
      const children = [2 * at + 1, 2 * at + 2].filter(child => child < items.length)
      const first = children.reduce((best, child) => isBefore(items[child] as Sleeper, items[best] as Sleeper) ? child : best, at)
      if (first === at) return
      swap(at, first)
      at = first
    }
  }

  function pop (): Sleeper | undefined {
    const top = items[0]
    const last = items.pop()
    if (items.length > 0 && last !== undefined) {
      items[0] = last
      sink()
    }
    return top
  }

  return { push, pop, peek: () => items[0] }
}

/** Creates a clock at 0. */
export function createVirtualClock (): VirtualClock {
  const heap = createHeap()
  let nowMs = 0
  let order = 0

  function sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return Promise.resolve()
    return new Promise(resolve => {
      order += 1
      const abort = (): void => {
        sleeper.wake = undefined
        resolve()
      }
      const wake = (): void => {
        signal?.removeEventListener('abort', abort)
        resolve()
      }
      const sleeper: Sleeper = { wakeAtMs: nowMs + Math.max(0, durationMs), order, wake }
      heap.push(sleeper)
      signal?.addEventListener('abort', abort, { once: true })
    })
  }

  async function runUntil (endAtMs: number): Promise<void> {
    await new Promise(resolve => setImmediate(resolve))
    for (let next = heap.peek(); next !== undefined && next.wakeAtMs <= endAtMs; next = heap.peek()) {
      heap.pop()
      if (next.wake === undefined) continue
      nowMs = Math.max(nowMs, next.wakeAtMs)
      next.wake()
      await new Promise(resolve => setImmediate(resolve))
    }
    nowMs = endAtMs
  }

  return { wallMs: () => startAtMs + nowMs, monotonicMs: () => nowMs, sleep, runUntil }
}
