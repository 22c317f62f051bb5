/** Waits for nodes to become ready. */
import { request as httpRequest } from 'node:http'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { readyPath } from '../../test/platform-adapter/soak-deployment.ts'
import type { NodeProcess } from './node-process.ts'

export const startTimeoutMs = 15_000
const pollMs = 100
const clock = createSystemClock()

export function isReady ({ readinessPort }: NodeProcess): Promise<boolean> {
  return new Promise(resolve => {
    const clientRequest = httpRequest({ host: '127.0.0.1', port: readinessPort, path: readyPath, timeout: 1_000 }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    clientRequest.on('timeout', () => clientRequest.destroy())
    // The connection is refused while the node's process isn't listening.
    clientRequest.on('error', () => resolve(false))
    clientRequest.end()
  })
}

/** Returns whether the condition was met in time. */
export async function pollUntil (condition: () => Promise<boolean>, withinMs: number): Promise<boolean> {
  const endAtMs = clock.monotonicMs() + withinMs
  while (clock.monotonicMs() < endAtMs) {
    if (await condition()) return true
    await clock.sleep(pollMs)
  }
  return false
}
