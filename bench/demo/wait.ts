/** Waits for conditions within a bound. */
import { setTimeout as delay } from 'node:timers/promises'

const pollMs = 100

/** Resolves once the condition holds; throws with the name of what was waited for after the bound. */
export async function waitUntil (what: string, timeoutMs: number, condition: () => boolean | Promise<boolean>): Promise<void> {
  const endAtMs = Date.now() + timeoutMs
  while (!await condition()) {
    if (Date.now() >= endAtMs) throw new Error(`Waited ${timeoutMs / 1000} s in vain until ${what}.`)
    await delay(pollMs)
  }
}
