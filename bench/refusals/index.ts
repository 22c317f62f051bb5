/**
 * Measures how long a node takes to refuse bad requests: at the caller, which
 * holds the way there and back, and by the node's own histogram `refusal_ms`,
 * from the end of a request's headers to its refusal.
 * Exit status 0 only if every refusal had its reason and nothing ran.
 */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import { parseArgs } from 'node:util'
import { build } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import { renderTable } from '../../src/cli/table.ts'
import { domains, readTeams } from '../demo/declarations.ts'
import { planNodes, startNode } from '../demo/nodes.ts'
import type { DemoNode } from '../demo/nodes.ts'
import { applyDeclarations } from '../demo/operator.ts'
import { startInstances, startPlatform } from '../demo/platform.ts'
import { waitUntil } from '../demo/wait.ts'
import { badRequests } from './cases.ts'
import type { BadRequest } from './cases.ts'

const { values: options } = parseArgs({ options: { times: { type: 'string', default: '200' }, json: { type: 'boolean', default: false } } })
const times = Number(options.times)
const warmUpTimes = 20
const startTimeoutMs = 30_000
const microsecondsPerMs = 1000

/** What one kind of bad request came to. */
interface Measured {
  request: string
  reason: string
  times: number
  wrong: number
  p50Ms: number
  p99Ms: number
}

async function refuse (url: string, { path, headers, body, reason }: BadRequest, dispatcher: Agent): Promise<{ durationMs: number, right: boolean }> {
  const startedAtMs = performance.now()
  const response = await request(url + path, { method: 'POST', headers, dispatcher, ...(body === undefined ? {} : { body }) })
  const problem = await response.body.json() as { reason?: string, run?: string }
  return { durationMs: performance.now() - startedAtMs, right: problem.reason === reason && problem.run === 'not-run' }
}

async function measure (url: string, bad: BadRequest): Promise<Measured> {
  const dispatcher = new Agent({ connections: 1 })
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  let wrong = 0
  for (let number = -warmUpTimes; number < times; number++) {
    const { durationMs, right } = await refuse(url, bad, dispatcher)
    if (!right) wrong += 1
    if (number >= 0) histogram.recordValue(Math.round(durationMs * microsecondsPerMs))
  }
  await dispatcher.close()
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / microsecondsPerMs
  return { request: bad.name, reason: bad.reason, times, wrong, p50Ms: at(50), p99Ms: at(99) }
}

/** The node's own time over all refusals so far, in milliseconds by quantile. */
async function readOwnTimes (url: string): Promise<Record<string, number>> {
  const response = await request(`${url}/metrics`)
  const lines = (await response.body.text()).matchAll(/^cyclamenshunt_refusal_ms\{quantile="([\d.]+)"\} ([\d.]+)$/gm)
  return Object.fromEntries([...lines].map(([, quantile = '', value]) => [quantile, Number(value)]))
}

const platform = await startPlatform()
const nodes: DemoNode[] = []
try {
  await Promise.all(readTeams().map(team => startInstances(platform, team)))
  const plans = await planNodes(domains.slice(0, 1))
  nodes.push(...plans.map(plan => startNode(plan, plans, platform, mkdtempSync(join(tmpdir(), 'cyclamenshunt-refusals-')))))
  platform.instanceList.setNodes(nodes.map(({ address }) => ({ address, leaving: false })))
  await applyDeclarations(platform)
  const node = nodes[0]!
  await waitUntil('the node is ready', startTimeoutMs, () => node.isReady())
  const measured: Measured[] = []
  for (const bad of badRequests) measured.push(await measure(node.url, bad))
  const ran = platform.services.reduce((sum, service) => sum + service.stats().ran, 0)
  const ownMs = await readOwnTimes(node.url)
  if (options.json) {
    process.stdout.write(`${JSON.stringify({ request: 'all, the node\'s own time', ownMs })}\n`)
    for (const line of measured) process.stdout.write(`${JSON.stringify(line)}\n`)
  } else {
    const rows = measured.map(({ request, reason, times, wrong, p50Ms, p99Ms }) => [request, reason, String(times), String(wrong), p50Ms.toFixed(2), p99Ms.toFixed(2)])
    process.stdout.write(`${renderTable(['request', 'reason', 'times', 'wrong', 'p50 ms', 'p99 ms'], rows)}\n\ncalls that ran at a service: ${ran}\nthe node's own time by quantile, in ms: ${JSON.stringify(ownMs)}\n`)
  }
  process.exitCode = ran === 0 && measured.every(({ wrong }) => wrong === 0) ? 0 : 1
} finally {
  for (const node of nodes) node.kill()
  await platform.close()
}
