/** Property tests: whatever a writer, a caller or a backend server sends, each decoder gives sound values or none, and never throws. */
import { validateHeaderValue } from 'node:http'
import fc from 'fast-check'
import test from 'ava'
import { createEntryReader, isSameBackend, readBackend } from '../../platform/backend-entry.ts'
import { decodeConfiguration } from '../../platform/configuration.ts'
import { headerCodec } from '../../platform/headers.ts'
import { createNodeRegistry } from '../../platform/node-registry.ts'
import { parseSettings } from '../../platform/settings.ts'
import { parseRetryAfterMs } from '../../src/core/gateway/eligibility.ts'
import { createRouteTable } from '../../src/core/gateway/index.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { isErrorOf } from '../../src/core/errors/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { readDutyHolder } from '../../src/core/leases/index.ts'
import { createMemoryKeyValue } from '../../src/core/platform/key-value/index.ts'
import { decodeQuarantine } from '../../src/core/quarantine/index.ts'
import { createChangeListener, createStoreView } from '../../src/core/store-view/index.ts'
import { renderSettings } from './render-settings.ts'
import type { IncomingMessage } from 'node:http'
import type { BackendId, NodeId, TeamId } from '../../src/core/ids/index.ts'

const run = { seed: 42, numRuns: 2_000 }

const entry = { service: 'models', address: '10.0.0.1:80', zone: 'a', version: 'v1', slots: 4, state: 'ready', cold_remaining_ms: 0, sequence: 1, spot: true, leaves_ms: 5, born: 7 }
const configuration = {
  version: 3,
  routes: [{ name: 'r', host: 'a.example', path_prefix: '/x/', kind: 'streaming', timeout_ms: 4000, slo_ms: 500, gap_slo_ms: 5, priority: 0, traffic_split: [{ service: 'models', weight: 1 }], max_attempts: 2, stream_resume: true }],
  services: [{ name: 'models', max_connections: 3, engine: { slots: 6, kv_capacity: 1, kv_token_bytes: 1, link_mbps: 8 }, scaling: { min_replicas: 1, max_replicas: 4, boot_time_s: 4, spot_price: 0.2, zone_prices: { a: 0.8 } } }],
  limits: { max_header_bytes: 16384, max_body_bytes: 100, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  tenants: [{ name: 't', api_keys: ['k'], unit: 'token', uncached_tokens: 200, rate_per_s: 10, burst: 20, priority: 1 }]
}
const node = { node: 'n-1', linkMbps: 1, host: '10.0.0.1', reportPort: 9, viewPort: 9 }
const records = { records: [{ service: 's', parts: ['p'], state: 'lifted', changedAtMs: 1, sinceMs: 1, untilMs: 2, crashes: 3, backends: ['b'] }] }

const oddText = fc.oneof(fc.string({ unit: 'binary' }), fc.constantFrom('', '127.0.0.1:70000', '__proto__', '\ufffd', 'x'.repeat(70_000)))
const oddValue = fc.oneof(
  fc.jsonValue({ maxDepth: 4 }), oddText, fc.double(), fc.maxSafeInteger(),
  fc.constantFrom<unknown>('127.0.0.1:70000', '1.2.3.400:80', null, -1, 0, 0.5, 1e308, -1e308, 2 ** 53, 70_000, [], {}, [null], true)
)

/** The sound value with one field replaced, removed or nested deeply; as JSON text, which may have numbers that JavaScript hasn't. */
function spoiled (sound: object): fc.Arbitrary<string> {
  const paths: string[][] = []
  const collect = (value: unknown, path: string[]): void => {
    paths.push(path)
    if (typeof value === 'object' && value !== null) for (const [name, field] of Object.entries(value)) collect(field, [...path, name])
  }
  collect(sound, [])
  const replace = (value: unknown, [name, ...rest]: string[], odd: unknown): unknown => {
    if (name === undefined) return odd
    const copy = structuredClone(value) as Record<string, unknown>
    copy[name] = replace(copy[name], rest, odd)
    return copy
  }
  const replaced = fc.tuple(fc.constantFrom(...paths), oddValue).map(([path, odd]) => JSON.stringify(replace(sound, path, odd)) ?? '')
  const raw = fc.tuple(fc.constantFrom(...paths.slice(1)), fc.constantFrom('1e999', '-1e999', `${'['.repeat(5_000)}${']'.repeat(5_000)}`, '{"__proto__":{"x":1}}', '\u0000'))
    .map(([path, text]) => JSON.stringify(replace(sound, path, '@odd@')).replace('"@odd@"', text))
  return fc.oneof({ weight: 6, arbitrary: replaced }, { weight: 2, arbitrary: raw }, { weight: 1, arbitrary: oddText }, { weight: 1, arbitrary: fc.json({ maxDepth: 5 }) })
}

/** All numbers in a value, however deep. */
function numbersIn (value: unknown): number[] {
  if (typeof value === 'number') return [value]
  if (value instanceof Map) return [...value.values()].flatMap(numbersIn)
  return typeof value === 'object' && value !== null ? Object.values(value).flatMap(numbersIn) : []
}

test('an entry decodes to a backend server with an address, an id and numbers that can be used, or to none', t => {
  fc.assert(fc.property(spoiled(entry), fc.oneof(fc.constant('i-1'), oddText), (text, id) => {
    const decoded = readBackend(id, text)
    isSameBackend(id, JSON.stringify(entry), text)
    if (decoded.isErr) return decoded.error.length < 300
    const { address, slots } = decoded.value
    validateHeaderValue('expect-instance', decoded.value.id)
    const url = new URL(`http://${address.host}:${address.port}`)
    return url.hostname === address.host && address.port >= 1 && address.port <= 65_535 && slots >= 1 && numbersIn(decoded.value).every(number => number >= 0 && number <= 8.64e15)
  }), run)
  t.pass()
})

test('a configuration takes effect with its sound parts, with timers and weights that can be used, or not at all', t => {
  fc.assert(fc.property(spoiled(configuration), text => {
    const decoded = decodeConfiguration(text)
    if (decoded.isErr) return true
    const { routes, services, limits, teams } = decoded.value
    createRouteTable(decoded.value).route('a.example', '/x/')
    for (const { team } of teams ?? []) validateHeaderValue('team', team)
    const isTimer = (timeoutMs: number): boolean => timeoutMs > 0 && timeoutMs < 2 ** 31
    return routes.every(route => isTimer(route.timeoutMs) && route.services.every(({ weight }) => weight >= 0 && weight < 1e12)) &&
      isTimer(limits.headerTimeoutMs) && isTimer(limits.idleTimeoutMs) && numbersIn(services).every(number => number >= 0)
  }), run)
  t.pass()
})

test('other stored values, settings and header values decode to sound ones or none', t => {
  fc.assert(fc.property(spoiled(records), text => {
    readDutyHolder(text)
    return decodeQuarantine(text)?.every(({ features }) => features.length > 0) ?? true
  }), run)
  fc.assert(fc.property(fc.constantFrom('listen.front', 'internal_ports', 'bounds.grace_s', 'limits.link_mbps', 'seeds', 'cloud.address', 'platform.ttl_min_ms', 'zone'), oddText, (field, value) => {
    try {
      return numbersIn(parseSettings(renderSettings({ [field]: value }), 'node.conf').bounds).every(Number.isFinite)
    } catch (error) {
      return isErrorOf(error, 'PlatformSettingInvalid')
    }
  }), run)
  fc.assert(fc.property(oddText, text => {
    const pauseMs = parseRetryAfterMs(text)
    return pauseMs === undefined || pauseMs >= 0
  }), run)
  t.pass()
})

test('any headers of a caller give a request that can be sent, and any of a backend server can be read', t => {
  // Bytes that the listener's parser lets through.
  const headerText = fc.oneof(fc.string({ unit: fc.integer({ min: 0x20, max: 0xff }).filter(code => code !== 0x7f).map(code => String.fromCharCode(code)), maxLength: 200 }), fc.constantFrom('0', '-1', '1e308', '999999999999999', '9999999999999999999', 'NaN', '1,2,3', 'a:1,b:2,c:x', ',,,:', 'Bearer ', 'x'.repeat(15_000)))
  const names = ['x-cyclamenshunt-deadline-ms', 'x-cyclamenshunt-token-count', 'x-cyclamenshunt-prompt-prefix', 'last-event-id', 'authorization', 'connection', 'host', 'server-limit', 'server-leaving', 'constructor', 'x-cyclamenshunt-attempt-id']
  fc.assert(fc.property(fc.dictionary(fc.constantFrom(...names), headerText, { noNullPrototype: true }), fc.double({ noNaN: true, min: -10, max: 20 }), (headers, rank) => {
    const head = headerCodec.readRequest(headers)
    const numbers = numbersIn(head)
    const request = { headers, rawHeaders: Object.entries(headers).flat() } as unknown as IncomingMessage
    const sent = headerCodec.forwardedHeaders(request, { backend: toId<BackendId>('i-1'), team: toId<TeamId>('t'), deadlineAtMs: 1_000 + (head.callerTimeoutMs ?? 0), rank, lastEventId: head.lastEventId, fetchFrom: undefined }, 4, 1_000)
    for (let at = 0; at < sent.length; at += 2) validateHeaderValue(sent[at]!, sent[at + 1]!)
    headerCodec.readResponse(200, headers)
    return numbers.every(number => Number.isFinite(number) && number >= 0)
  }), run)
  t.pass()
})

test('any values under the keys that nodes follow leave the sound ones beside them in effect', async t => {
  const clock = createManualClock()
  const store = createMemoryKeyValue({ clock }).connect('node')
  const values = fc.sample(fc.tuple(fc.constantFrom('servers/', 'cyclamenshunt/nodes/'), fc.oneof(fc.constantFrom('n-1', 'i-1'), fc.string({ maxLength: 8 })), fc.oneof(spoiled(entry), spoiled(node))), { seed: run.seed, numRuns: 1_000 })
  const view = createStoreView({ store, clock, log: () => {}, fetchFromPeers: async () => undefined, isSameContent: isSameBackend })
  const failed: string[] = []
  const registry = createNodeRegistry({ self: { ...node, node: toId<NodeId>('self') }, store, view, clock, log: () => {}, random: () => 0.5, restoreGraceMs: 4_000 })
  const readEntry = createEntryReader(() => {})
  const found = new Set<string>()
  view.onChanges(createChangeListener(event => { failed.push(event) }, change => {
    registry.applyChange(change)
    if (change.key.startsWith('servers/') && change.value !== undefined && readEntry(change.key.slice(8), change.value) !== undefined) found.add(change.key)
  }))
  t.teardown(() => {
    view.close()
    registry.close()
  })
  view.start()
  for (const [prefix, id, value] of values) await store.transact({ compares: [], puts: [{ key: prefix + id, value }], deletes: [] }, { deadlineAtMs: clock.wallMs() + 5_000 })
  const sound = [['servers/sound', entry], ['cyclamenshunt/nodes/sound', { ...node, node: 'sound' }]] as const
  for (const [key, value] of sound) await store.transact({ compares: [], puts: [{ key, value: JSON.stringify(value) }], deletes: [] }, { deadlineAtMs: clock.wallMs() + 5_000 })
  await clock.advance(5_000)
  t.true(found.has('servers/sound'))
  t.true(registry.peers().some(peer => peer.node === 'sound'))
  t.deepEqual(failed, [])
})
