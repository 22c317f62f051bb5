/** Decoding of the platform's configuration, backend server entries, headers and settings. */
import test from 'ava'
import { decodeBackend, isSameBackend } from '../../platform/backend-entry.ts'
import { decodeConfiguration } from '../../platform/configuration.ts'
import { decodePromptParts, headerCodec } from '../../platform/headers.ts'
import { parseSettings } from '../../platform/settings.ts'
import { isErrorOf } from '../../src/core/errors/index.ts'
import { createRouteTable } from '../../src/core/gateway/index.ts'
import { renderSettings } from './render-settings.ts'
import type { IncomingMessage } from 'node:http'
import type { BackendId, TeamId } from '../../src/core/ids/index.ts'

const storedConfiguration = {
  version: 7,
  routes: [
    { name: 'r-1', host: 'a.example', path_prefix: '/x/', kind: 'streaming', timeout_ms: 4000, slo_ms: 500, priority: 0, service: 'models', max_attempts: 2, stream_resume: true, gap_slo_ms: 250, session_affinity: true, unknown: 1 },
    { name: 'r-2', host: 'a.example', path_prefix: '/x/y/', kind: 'non_idempotent', timeout_ms: 2000, slo_ms: 300, traffic_split: [{ service: 'one', weight: 90 }, { service: 'two', weight: 10 }] }
  ],
  services: [{ name: 'models', max_connections: 370, engine: { slots: 64, kv_capacity: 1000, kv_token_bytes: 1000, link_mbps: 8000 }, scaling: { min_replicas: 1, max_replicas: 4, boot_time_s: 4, spot_price: 0.2, zone_prices: { a: 0.85 } } }],
  limits: { max_header_bytes: 16384, max_body_bytes: 100, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  tenants: [{ name: 't', api_keys: ['k'], unit: 'token', uncached_tokens: 200, rate_per_s: 10, burst: 20 }]
}

test('a configuration is decoded into routes, services and teams', t => {
  const decoded = decodeConfiguration(JSON.stringify(storedConfiguration)).unwrapOr(undefined)
  t.like(decoded?.routes[0], { kind: 'stream', isResumable: true, timeoutMs: 4000, latencyTargetMs: 500, maxBackends: 2, services: [{ service: 'models', weight: 1 }] })
  t.like(decoded?.routes[1], { kind: 'at-most-once', isResumable: false, services: [{ service: 'one', weight: 90 }, { service: 'two', weight: 10 }] })
  t.like(decoded?.services[0]?.engine, { slots: 64, cacheTokens: 1000, fetchMsPerToken: 0.001 })
  t.is(decoded?.services[0]?.scaling?.bootMs, 4000)
  t.like(decoded?.teams?.[0], { team: 't', keys: ['k'], defaultTokens: 200, quota: { perSecond: 10, burst: 20, countsTokens: true } })
})

test('the limit of cold backend servers is decoded where `cold_per_s` is above 0, and without bounds the platform\'s usual ones hold', t => {
  const coldOf = (changes: object) => decodeConfiguration(JSON.stringify({ version: 1, routes: [], services: [{ name: 'models', ...changes }] })).unwrapOr(undefined)?.services[0]?.cold
  t.deepEqual(coldOf({ cold_start_s: 3, cold_per_s: 11 }), { startMs: 3_000, perSecond: 11 })
  t.deepEqual(coldOf({ cold_per_s: 0.5 }), { startMs: 0, perSecond: 0.5 })
  for (const changes of [{}, { cold_start_s: 3 }, { cold_start_s: 3, cold_per_s: 0 }]) t.is(coldOf(changes), undefined)
  t.like(parseSettings(renderSettings({}), 'node.conf').bounds, { coldOverrunRatio: 1.5, coldSlackCount: 5 })
  t.like(parseSettings(renderSettings({ 'bounds.cold_overrun': '2', 'bounds.cold_slack': '0' }), 'node.conf').bounds, { coldOverrunRatio: 2, coldSlackCount: 0 })
})

test('a request is routed by its host and the longest matching path prefix', t => {
  const table = createRouteTable(decodeConfiguration(JSON.stringify(storedConfiguration)).unwrapOr(undefined)!)
  t.is(table.route('A.example:80', '/x/y/z?q=/x/')?.name, 'r-2')
  t.is(table.route('a.example', '/x/yy')?.name, 'r-1')
  t.is(table.route('a.example', '/x')?.name, undefined)
  t.is(table.route('b.example', '/x/y/')?.name, undefined)
})

test('an invalid configuration is rejected', t => {
  for (const text of ['', '{"version":1}', '{"version":"1","routes":[]}']) {
    t.true(decodeConfiguration(text).isErr)
  }
})

test('a valid backend server entry is decoded, and an invalid one gives undefined', t => {
  const entry = { service: 'models', address: '10.0.0.1:80', zone: 'a', version: 'v1', slots: 64, state: 'ready', sequence: 3, born: 5 }
  t.like(decodeBackend('i-1', JSON.stringify(entry)), { id: 'i-1', service: 'models', address: { host: '10.0.0.1', port: 80 }, isLeaving: false, startedAtMs: 5 })
  t.true(decodeBackend('i-1', JSON.stringify({ ...entry, state: 'draining' }))?.isLeaving)
  for (const change of [{ state: 'asleep' }, { address: 'somewhere' }, { service: 7 }, { slots: 'many' }]) {
    t.is(decodeBackend('i-1', JSON.stringify({ ...entry, ...change })), undefined)
  }
  t.is(decodeBackend('i-1', '\u0000\u0001'), undefined)
})

test('the affinity key of a prompt changes with the part before the last one, and not with the last one', t => {
  // The first argument lists the parts of a prompt as `id:tokens`; the second is the prompt's number of tokens.
  const one = decodePromptParts('aa:800,bb:400,cc:200', 1460)
  const other = decodePromptParts('aa:800,bb:400,dd:90', 1290)
  t.deepEqual(one?.blockTokens, [800, 400, 200])
  t.is(one?.tokens, 1460)
  t.is(one?.affinityKey, other?.affinityKey)
  t.not(one?.affinityKey, decodePromptParts('aa:800,ee:400,cc:200', 1400)?.affinityKey)
  t.is(decodePromptParts('', 10), undefined)
})

test('a prompt with more or longer parts than nodes keep is read up to a bound', t => {
  const parts = Array.from({ length: 3_000 }, (_, index) => `${index}:1`).join(',')
  t.true((decodePromptParts(parts, 3_000)?.hashes.length ?? 0) <= 256)
  t.is(decodePromptParts(parts, 3_000)?.tokens, 3_000)
  t.is(decodePromptParts(`aa:8,${'b'.repeat(10_000)}:9`, 17)?.hashes.length, 1)
})

test('headers that only the system sets are removed from a caller\'s request, and other headers are forwarded', t => {
  const rawHeaders = [
    'Host', 'a.example', 'X-Cyclamenshunt-Attempt-Id', 'r-1', 'X-Cyclamenshunt-Deadline-Ms', '6000', 'Authorization', 'Bearer k',
    'X-Cyclamenshunt-Hold', 'h', 'X-Cyclamenshunt-Pin-Ms', '5', 'X-Cyclamenshunt-Kv-Backup', 'b', 'Kv-From', 'f', 'Kv-Fetch', 'g',
    'X-Cyclamenshunt-Tenant', 'other', 'X-Cyclamenshunt-Request-Priority', '0', 'X-Cyclamenshunt-Expect-Instance', 'i-9',
    'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'X-Own', 'kept', 'Content-Length', '4'
  ]
  const headers: Record<string, string> = {}
  for (let at = 0; at < rawHeaders.length; at += 2) headers[rawHeaders[at]!.toLowerCase()] = rawHeaders[at + 1]!
  const request = { rawHeaders, headers } as unknown as IncomingMessage
  const sent = headerCodec.forwardedHeaders(request, {
    backend: 'i-1' as BackendId, team: 't' as TeamId, deadlineAtMs: 2_500, rank: 2, lastEventId: undefined, fetchFrom: undefined
  }, 4, 1_000)
  const map = new Map<string, string>()
  for (let at = 0; at < sent.length; at += 2) {
    t.false(map.has(sent[at]!.toLowerCase()), `${sent[at]} is sent once`)
    map.set(sent[at]!.toLowerCase(), sent[at + 1]!)
  }
  t.deepEqual(Object.fromEntries(map), {
    host: 'a.example',
    'content-length': '4',
    'x-own': 'kept',
    'x-cyclamenshunt-attempt-id': 'r-1',
    'x-cyclamenshunt-deadline-ms': '1500',
    'x-cyclamenshunt-expect-instance': 'i-1',
    'x-cyclamenshunt-request-priority': '2',
    'x-cyclamenshunt-tenant': 't'
  })
})

test('settings in seconds are converted to milliseconds, unknown fields are ignored, and the error for an invalid field names it', t => {
  const settings = parseSettings(renderSettings({ extra: 'x' }), 'node.conf')
  t.like(settings, { node: 'front-a-1', domain: 'a', isFirstStart: true, duties: { reportsUsage: true, ordersBackends: true } })
  t.is(settings.bounds.stopGraceMs, 8_000)
  t.deepEqual(settings.seeds, [{ host: '127.0.0.1', port: 1 }])
  for (const [field, value] of [['node_name', ''], ['listen.front', 'nowhere'], ['bounds.grace_s', 'soon']] as const) {
    const error = t.throws(() => parseSettings(renderSettings({ [field]: value }), 'node.conf'))
    t.true(isErrorOf(error, 'PlatformSettingInvalid'))
    t.true(error.message.includes(field))
  }
})

test('a port that is out of range is an error that names its field, and an interval stays within what a timer can wait', t => {
  for (const [field, value] of [['listen.front', '127.0.0.1:70000'], ['listen.readiness', '127.0.0.1:0'], ['internal_ports', 'x,17615'], ['internal_ports', '70000']] as const) {
    const error = t.throws(() => parseSettings(renderSettings({ [field]: value }), 'node.conf'))
    t.true(isErrorOf(error, 'PlatformSettingInvalid') && error.message.includes(field))
  }
  t.is(parseSettings(renderSettings({ 'listen.control': '127.0.0.1:70000' }), 'node.conf').control, undefined)
  for (const value of ['1e308', '-1', '0']) {
    const { bounds } = parseSettings(renderSettings({ 'bounds.grace_s': value, 'bounds.lease_ms': value }), 'node.conf')
    t.true([bounds.stopGraceMs, bounds.leaseMs].every(intervalMs => intervalMs > 0 && intervalMs <= 2 ** 31 - 1))
  }
})

test('two values of an entry are the same backend server if they differ only in the heartbeat', t => {
  const entry = { service: 'models', address: '10.0.0.1:80', zone: 'a', version: 'v1', slots: 4, state: 'ready', sequence: 1, born: 1_000 }
  const isSame = (changed: object) => isSameBackend('i-1', JSON.stringify(entry), JSON.stringify({ ...entry, ...changed }))
  t.true(isSame({ sequence: 2 }))
  for (const changed of [{ state: 'draining' }, { address: '10.0.0.2:80' }, { born: 2_000 }, { version: 'v2' }, { state: 'unknown' }]) t.false(isSame(changed), JSON.stringify(changed))
})

test('allowed regions are decoded, an empty list is no restriction, and a value that is not a list of strings leaves out its part', t => {
  const [route] = storedConfiguration.routes
  const [team] = storedConfiguration.tenants
  const decode = (regions: unknown, onInvalid?: (part: string) => void) => {
    const text = JSON.stringify({ ...storedConfiguration, routes: [{ ...route, allowed_regions: regions }], tenants: [{ ...team, allowed_regions: regions }] })
    const decoded = decodeConfiguration(text, onInvalid).unwrapOr(undefined)
    return [...decoded?.routes ?? [], ...decoded?.teams ?? []].map(({ allowedRegions }) => allowedRegions)
  }
  t.deepEqual(decode(['r-1', 'r-2']), [new Set(['r-1', 'r-2']), new Set(['r-1', 'r-2'])])
  for (const none of [[], undefined]) t.deepEqual(decode(none), [undefined, undefined])
  for (const odd of ['r-1', [1], [['r-1']], null, { 0: 'r-1' }, [null]]) {
    const invalid: string[] = []
    t.deepEqual(decode(odd, part => { invalid.push(part) }), [])
    t.deepEqual(invalid, ['routes.0', 'tenants.0'])
  }
  t.deepEqual([...parseSettings(renderSettings({ 'zones.a': 'r-1', 'zones.b-2': 'r-2', 'zones.c': '' }), '').regions].map(([domain, region]) => [domain as string, region]), [['a', 'r-1'], ['b-2', 'r-2']])
})
