/** Backend servers, requests and routers for the tests of routing. */
import type { Backend } from '../../src/core/backends/types.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { BackendId, DomainId, InstanceId, NodeId, RequestId, TeamId, VersionId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createPromptHasher, createRouter } from '../../src/core/routing/index.ts'
import type { CreateRouter, RouteRequest, RouterOptions } from '../../src/core/routing/index.ts'

export const team = toId<TeamId>('team-1')
export const first = toId<VersionId>('v1')
export const second = toId<VersionId>('v2')
export const hasher = await createPromptHasher()

export function backendOf (name: string, changes: Partial<Backend> = {}): Backend {
  return {
    id: toId<BackendId>(name),
    instance: toId<InstanceId>(`i-${name}`),
    team,
    kind: 'model-engine',
    version: first,
    domain: toId<DomainId>('domain-a'),
    machineClass: 'standard',
    reclaimable: true,
    url: 'http://127.0.0.1:1',
    state: 'live',
    ...changes
  }
}

export function fleetOf (size: number): Backend[] {
  return Array.from({ length: size }, (_, index) => backendOf(`b-${index}`))
}

export function setUp (create: CreateRouter = createRouter, changes: Partial<RouterOptions> = {}) {
  const clock = createManualClock()
  const metrics = createMetrics()
  const router = create({
    node: toId<NodeId>('node-1'),
    clock,
    metrics,
    hasher,
    random: createRandom(1),
    profileOf: () => ({ prefillMsPerToken: 0.1, slots: 16, serviceMs: 4000 }),
    ...changes
  })
  return { clock, metrics, router }
}

export function requestOf (id: string, nowMs: number, changes: Partial<RouteRequest> = {}): RouteRequest {
  return {
    request: toId<RequestId>(id),
    team,
    shares: { shares: [{ version: first, share: 1 }] },
    priority: 'normal',
    deadlineAtMs: nowMs + 60_000,
    excluded: new Set(),
    ...changes
  }
}

/** A case file of 32,000 characters that differs from others from its first block on. */
export function caseFile (seed: number): string {
  return `case file ${seed}: reminder dispatched. `.repeat(2000).slice(0, 32_000)
}
