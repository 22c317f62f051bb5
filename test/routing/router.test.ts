import test from 'ava'
import fc from 'fast-check'
import type { BackendId, AttemptId, NodeId, VersionId } from '../../src/core/ids/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { createRandom } from '../../src/core/random/index.ts'
import { createRouter } from '../../src/core/routing/index.ts'
import type { CreateRouter, RouteChoice, Router } from '../../src/core/routing/index.ts'
import { createNaiveRouter } from '../../src/core/routing/naive.ts'
import { createBackend, createLongPrompt, version1, createBackends, hasher, createRequest, version2, setUp } from './fixtures.ts'

const attemptId = (name: string | number): AttemptId => toId<AttemptId>(`attempt-${name}`)

function unwrapChoice (result: ReturnType<Router['choose']>): RouteChoice {
  if (result.isErr) throw new Error(result.error.detail)
  return result.value
}

test('backend servers that are leaving, starting, excluded or of another version are never chosen', t => {
  const kinds = fc.record({
    state: fc.constantFrom('live', 'leaving', 'starting'),
    version: fc.constantFrom(version1, version2),
    excluded: fc.boolean()
  })
  fc.assert(fc.property(fc.array(kinds, { maxLength: 12 }), fc.integer(), (list, seed) => {
    const { clock, router } = setUp(createRouter, { random: createRandom(seed) })
    const backends = list.map(({ state, version }, index) => createBackend(`b-${index}`, { state, version }))
    const excluded = new Set(backends.filter((_, index) => list[index]?.excluded).map(({ id }) => id))
    const usable = backends.filter(({ id, state, version }) => state === 'live' && version === version1 && !excluded.has(id))
    const result = router.choose(createRequest(`r-${seed}`, clock.wallMs(), { excluded, prompt: hasher.blocks(createLongPrompt(1)) }), backends)
    if (result.isErr) return usable.length === 0 && result.error.reason === 'no-backend' && result.error.retryAtMs !== undefined
    return usable.includes(result.value.backend)
  }), { seed: 20261203 })
  t.pass()
})

test('all nodes choose the same version for a request, and versions get their shares', t => {
  const shares = { shares: [{ version: version1, share: 0.95 }, { version: version2, share: 0.05 }] }
  const backends = [...createBackends(4), ...[4, 5].map(index => createBackend(`b-${index}`, { version: version2 }))]
  const nodes = [1, 2].map(index => setUp(createRouter, { node: toId<NodeId>(`node-${index}`), random: createRandom(index) }))
  let onVersion2 = 0
  for (let index = 0; index < 4000; index += 1) {
    const versions = new Set<VersionId>()
    for (const { clock, router } of nodes) versions.add(unwrapChoice(router.choose(createRequest(`r-${index}`, clock.wallMs(), { shares }), backends)).version)
    t.is(versions.size, 1)
    if (versions.has(version2)) onVersion2 += 1
  }
  t.true(onVersion2 > 140 && onVersion2 < 260, `${onVersion2} of 4000`)
})

test('a canary version does not replace a main version without backend servers', t => {
  const { clock, router } = setUp()
  const shares = { shares: [{ version: version1, share: 0.95 }, { version: version2, share: 0.05 }] }
  const canaryBackends = [createBackend('b-1', { version: version2 })]
  const results = Array.from({ length: 400 }, (_, index) => router.choose(createRequest(`r-${index}`, clock.wallMs(), { shares }), canaryBackends))
  t.true(results.filter(({ isOk }) => isOk).length < 60)
})

/** Counts the backend servers that get requests with one shared prefix from eight nodes that exchange no messages. */
function countBackendsForSharedPrefix (create: CreateRouter): number {
  const backends = createBackends(12)
  const chosenIds = new Set<BackendId>()
  for (let node = 0; node < 8; node += 1) {
    const { clock, router } = setUp(create, { node: toId<NodeId>(`node-${node}`), random: createRandom(node + 1) })
    const prompt = hasher.blocks(`${createLongPrompt(7)} question of node ${node}`)
    chosenIds.add(unwrapChoice(router.choose(createRequest(`r-${node}`, clock.wallMs(), { prompt }), backends)).backend.id)
  }
  return chosenIds.size
}

test('nodes that exchange no messages send a shared prefix to the same backend server, unlike the naive router', t => {
  t.true(countBackendsForSharedPrefix(createNaiveRouter) > 2)
  t.is(countBackendsForSharedPrefix(createRouter), 1)
})

/** Returns the most requests that one of eight equal backend servers gets out of 64 between two load reports. */
function maxRequestsInBurst (create: CreateRouter): number {
  const { clock, router } = setUp(create)
  const backends = createBackends(8)
  for (const [index, { id }] of backends.entries()) {
    router.onLoadReport({ backend: id, reportedAtMs: clock.wallMs() - 500, running: index, waiting: 0, cacheUsage: 0 })
  }
  const counts = new Map<BackendId, number>()
  for (let index = 0; index < 64; index += 1) {
    const choice = unwrapChoice(router.choose(createRequest(`r-${index}`, clock.wallMs()), backends))
    router.onAttemptSent(attemptId(index), choice)
    counts.set(choice.backend.id, (counts.get(choice.backend.id) ?? 0) + 1)
  }
  return Math.max(...counts.values())
}

test('a burst between two load reports is spread over the backend servers, unlike with the naive router', t => {
  t.is(maxRequestsInBurst(createNaiveRouter), 64)
  t.true(maxRequestsInBurst(createRouter) <= 16)
})

test('a prompt goes to another backend server when its preferred one is overloaded', t => {
  const { clock, router } = setUp()
  const backends = createBackends(8)
  const prompt = hasher.blocks(createLongPrompt(3))
  const preferred = unwrapChoice(router.choose(createRequest('r-1', clock.wallMs(), { prompt }), backends)).backend
  router.onLoadReport({ backend: preferred.id, reportedAtMs: clock.wallMs(), running: 16, waiting: 20, cacheUsage: 0.9 })
  t.not(unwrapChoice(router.choose(createRequest('r-2', clock.wallMs(), { prompt }), backends)).backend.id, preferred.id)
})

/** Counts the requests, out of 200, that go to one of three backend servers that fails all its attempts immediately. */
function countRequestsToFailing (create: CreateRouter): number {
  const { clock, router } = setUp(create)
  const backends = createBackends(3)
  const failing = toId<BackendId>('b-0')
  for (const [index, { id }] of backends.entries()) {
    router.onLoadReport({ backend: id, reportedAtMs: clock.wallMs(), running: index * 4, waiting: 0, cacheUsage: 0 })
  }
  let count = 0
  for (let index = 0; index < 200; index += 1) {
    const choice = unwrapChoice(router.choose(createRequest(`r-${index}`, clock.wallMs()), backends))
    router.onAttemptSent(attemptId(index), choice)
    router.onAttemptEnded(attemptId(index), { ok: choice.backend.id !== failing })
    if (choice.backend.id === failing) count += 1
  }
  return count
}

test('a backend server that fails immediately does not attract traffic, as it does with the naive router', t => {
  t.is(countRequestsToFailing(createNaiveRouter), 200)
  t.true(countRequestsToFailing(createRouter) <= 5)
})

test('an attempt that can\'t start by its deadline is refused', t => {
  const { clock, router } = setUp()
  const [backend] = createBackends(1)
  router.onLoadReport({ backend: toId<BackendId>('b-0'), reportedAtMs: clock.wallMs(), running: 16, waiting: 160, cacheUsage: 1 })
  const result = router.choose(createRequest('r-1', clock.wallMs(), { deadlineAtMs: clock.wallMs() + 1000 }), backend === undefined ? [] : [backend])
  t.true(result.isErr && result.error.reason === 'deadline-unreachable' && result.error.run === 'not-run')
})

// A long prompt without cached parts was refused at every attempt of its caller, with free backend servers.
test('a request whose own prompt takes longer than its target is served late, and refused only for its deadline', t => {
  const { clock, router } = setUp()
  const nowMs = clock.wallMs()
  const backends = createBackends(4)
  const prompt = hasher.blocks(createLongPrompt(1))
  const expectedMs = unwrapChoice(router.choose(createRequest('r-0', nowMs, { prompt }), backends)).prefillMs
  const chosen = router.choose(createRequest('r-1', nowMs, { prompt, firstTokenDeadlineAtMs: nowMs + expectedMs / 2 }), backends)
  t.true(chosen.isOk)
  const hopeless = router.choose(createRequest('r-2', nowMs, { prompt, firstTokenDeadlineAtMs: nowMs + expectedMs / 2, deadlineAtMs: nowMs + expectedMs / 2 }), backends)
  t.true(hopeless.isErr && hopeless.error.reason === 'deadline-unreachable')
})

test('a request that others keep from meeting its target is refused with the time to retry', t => {
  const { clock, router } = setUp()
  const nowMs = clock.wallMs()
  const [backend] = createBackends(1)
  const first = unwrapChoice(router.choose(createRequest('r-0', nowMs, { prompt: hasher.blocks(createLongPrompt(1)) }), [backend!]))
  router.onAttemptSent(attemptId(0), first)
  const refused = router.choose(createRequest('r-1', nowMs, { prompt: hasher.blocks(createLongPrompt(2)), firstTokenDeadlineAtMs: nowMs + first.prefillMs * 1.5 }), [backend!])
  t.true(refused.isErr && refused.error.reason === 'deadline-unreachable' && (refused.error.retryAtMs ?? 0) > nowMs)
})

test('no request is refused while any backend server is free, although few are compared', t => {
  const { clock, router } = setUp(createRouter, { random: createRandom(3) })
  const nowMs = clock.wallMs()
  const backends = createBackends(20)
  const busy = new Map(backends.slice(1).map(({ id }) => [id, { requests: 1, pendingTokens: 1e6 }]))
  router.onPeerLoad(toId<NodeId>('peer'), busy)
  for (let index = 0; index < 20; index += 1) {
    const choice = unwrapChoice(router.choose(createRequest(`r-${index}`, nowMs, { prompt: hasher.blocks(createLongPrompt(index)), firstTokenDeadlineAtMs: nowMs + 2_000 }), backends))
    t.is(choice.backend.id, backends[0]!.id)
  }
})

test('a node that may send to an idle server of many, which few others may, finds it', t => {
  const { clock, router } = setUp(createRouter, { subsetSize: 8 })
  const backends = createBackends(200)
  const idle = backends[137]!.id
  for (const [index, backend] of backends.entries()) {
    if (backend.id === idle) continue
    router.onPeerLoad(toId<NodeId>(`peer-${index}`), new Map([[backend.id, { requests: 40, pendingTokens: 50_000 }]]))
  }
  const chosenWith = (isAlwaysCompared?: (id: BackendId) => boolean) => Array.from({ length: 20 }, (_, index) => {
    const request = createRequest(`r-${index}`, clock.wallMs(), isAlwaysCompared === undefined ? {} : { isAlwaysCompared })
    return unwrapChoice(router.choose(request, backends)).backend.id
  })
  t.true(chosenWith().filter(id => id === idle).length < 5)
  t.true(chosenWith(id => id === idle).every(id => id === idle))
})
