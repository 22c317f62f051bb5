/** Datagrams with values of other kinds: dropped as a whole where they are decoded, never half applied. */
import { decode, encode } from 'cbor-x'
import fc from 'fast-check'
import test from 'ava'
import { createManualClock } from '../../src/core/clock/index.ts'
import { createActivityTotals } from '../../src/core/node-reports/activity-totals.ts'
import { decodeMessage, encodeDigest, encodeQuotaDecision, encodeQuotaRequest, encodeReport, maxDatagramBytes } from '../../src/core/node-reports/codec.ts'
import { toId } from '../../src/core/ids/index.ts'
import type { NodeDigest, NodeReport } from '../../src/core/node-reports/index.ts'
import type { BackendId, NodeId, TeamId } from '../../src/core/ids/index.ts'

const seed = 42
const numRuns = 3_000

const report: NodeReport = {
  node: toId<NodeId>('n-1'),
  bootId: 'life-1',
  sequence: 3,
  isDraining: false,
  wantsDigest: true,
  digestSource: toId<NodeId>('n-2'),
  revision: 9,
  quotaUsage: new Map([[toId<TeamId>('agency'), { quota: 5, tolerance: 1, asked: 7 }]]),
  quotaLevels: new Map([[toId<TeamId>('agency'), { quota: 5, tolerance: 1 }]]),
  loads: new Map([[toId<BackendId>('b-1'), { requests: 2, pendingTokens: 100 }]]),
  prefixes: [{ backend: toId<BackendId>('b-1'), hashes: ['h-1', 'h-2'] }],
  suspects: new Map([[toId<BackendId>('b-2'), { suspecting: 1, hearing: 0 }]]),
  leaving: new Map([[toId<BackendId>('b-3'), 1_700_000_000_000], [toId<BackendId>('b-4'), undefined]]),
  prompts: {
    crashed: [{ attempt: 'a' as never, service: 's', backend: toId<BackendId>('b-1'), backendStartedAtMs: undefined, features: ['f' as never], hasStarted: true, crashedAtMs: 5, inProgress: 1, origin: { team: toId<TeamId>('agency'), route: 'r' } }],
    answered: new Map([['f' as never, { since: 1, before: 2 }]]),
    trials: ['t'],
    records: [{ service: 's', features: ['f' as never], state: 'lifted', changedAtMs: 1, sinceMs: 1, untilMs: 2, crashes: 3, backends: [toId<BackendId>('b-1')] }]
  },
  limits: {
    limits: [{ backend: toId<BackendId>('b-1'), startedAtMs: undefined, perSecond: 2.5, sentAgeMs: 5, readAgeMs: 3 }],
    demands: new Map([['s', 4.5]]),
    shares: [{ backend: toId<BackendId>('b-1'), startedAtMs: 7, ratio: 0.5, burst: 2 }]
  },
  speeds: {
    servers: [{ backend: toId<BackendId>('b-1'), startedAtMs: 7, sums: [1.5, 2_000, 60, 20, 300] }],
    services: [{ service: 's', sums: [1.5, 2, 60, 4, 90, 1, 2, 50, 20, 300, 1] }]
  },
  usage: new Map([[7, new Map([[toId<TeamId>('agency'), 3]])]]),
  workMs: new Map([['s', 12]]),
  evidence: [{ any: 'thing' }],
  quotaGrants: new Map([['life-2', new Map([[toId<TeamId>('agency'), { quota: 4, tolerance: 1 }]])]])
}
const digest: NodeDigest = {
  node: toId<NodeId>('n-2'),
  bootId: 'life-2',
  isDraining: false,
  decidesQuotas: true,
  nodes: 4,
  activity: report,
  delta: { revision: 12, reachableForMs: 5, contentAgeMs: 40, changes: [{ key: 'a', value: 'v', modRevision: 10 }, { key: 'b', value: undefined, modRevision: 11, isValueOmitted: true }] }
}

function tryDecode (bytes: Buffer): ReturnType<typeof decodeMessage> | undefined {
  try {
    return decodeMessage(bytes)
  } catch (error) {
    if (!(error instanceof Error)) throw error
    return undefined
  }
}

/** Replaces the value at a random place of a message. */
function replaceAt (message: unknown, path: readonly number[], value: unknown): unknown {
  if (!Array.isArray(message) || message.length === 0 || path.length === 0) return value
  const [step = 0, ...rest] = path
  const index = step % message.length
  return message.map((item, at) => at === index ? replaceAt(item, rest, value) : item)
}

const oddValue = fc.oneof(fc.anything(), fc.constantFrom<unknown>(2n ** 60n, Number.NaN, Infinity, null, undefined, -1, 1e308, [[]], new Map([['a', 1]])))

test('a report and a digest are decoded as they were encoded', t => {
  const decoded = decodeMessage(encodeReport(report))
  t.true('report' in decoded)
  t.deepEqual('report' in decoded ? decoded.report : undefined, report)
  const other = decodeMessage(encodeDigest(digest))
  t.like('digest' in other ? other.digest.delta : undefined, digest.delta)
})

test('a report and a digest fit into a datagram, whatever the length of the prompts that they tell of', t => {
  const hashes = Array.from({ length: 4_000 }, (_, index) => `a${index}/b${index}`)
  const prefixes = Array.from({ length: 24 }, (_, index) => ({ backend: toId<BackendId>(`b-${index}`), hashes }))
  const crashed = [{ ...report.prompts!.crashed[0]!, features: hashes.map(hash => `${hash}${hash}` as never) }]
  for (const odd of [{ prefixes }, { prefixes, prompts: { ...report.prompts!, crashed } }]) {
    const sent = encodeReport({ ...report, ...odd })
    const answered = encodeDigest({ ...digest, activity: { ...report, ...odd } })
    t.true(sent.length <= maxDatagramBytes && answered.length <= maxDatagramBytes)
    t.like(decodeMessage(sent), { report: { quotaUsage: report.quotaUsage, loads: report.loads, limits: report.limits } })
    t.like(decodeMessage(answered), { digest: { delta: digest.delta } })
  }
})

test('a message with a value of another kind, or with any bytes, is dropped or decodes to usable numbers', t => {
  const messages = [encodeReport(report), encodeDigest(digest)]
  const messageArbitrary = fc.tuple(fc.nat(1), fc.array(fc.nat(12), { minLength: 1, maxLength: 6 }), oddValue)
  const usable = (value: unknown): boolean => typeof value !== 'bigint' && !(typeof value === 'number' && !Number.isFinite(value))
  fc.assert(fc.property(messageArbitrary, ([kind, path, value]) => {
    const sound = decode(messages[kind]!) as unknown
    const decoded = tryDecode(encode(replaceAt(sound, path, value)))
    if (decoded === undefined) return
    const activity = 'report' in decoded ? decoded.report : 'digest' in decoded ? decoded.digest.activity : undefined
    if (activity === undefined) return
    // A collector adds up what it decoded; a value of another kind would spoil its totals or throw there.
    const totals = createActivityTotals({ clock: createManualClock(), maxPrefixes: () => 8 })
    for (const bootId of ['first', 'second']) totals.record(toId<NodeId>('n-1'), bootId, activity)
    const { loads, quotaUsage } = totals.totalsExcept(toId<NodeId>('n-9'))
    t.true([...loads.values(), ...quotaUsage.values()].flatMap(Object.values).every(usable))
  }), { seed, numRuns })
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => { tryDecode(Buffer.from(bytes)) }), { seed, numRuns })
  t.is(tryDecode(Buffer.alloc(60_000, 0x81)), undefined, 'arrays nested as deeply as a datagram allows')
})

test('quota requests and decisions are decoded as they were encoded; those of another version or with negative amounts are rejected', t => {
  const request = { node: toId<NodeId>('n-1'), bootId: 'life-1', number: 7, team: toId<TeamId>('agency'), tokens: 9_000 }
  const decision = { bootId: 'life-2', requesterBootId: 'life-1', number: 7, granted: { quota: 8_000, tolerance: 1_000 }, waitMs: 0 }
  t.deepEqual(decodeMessage(encodeQuotaRequest(request)), { quotaRequest: request })
  t.deepEqual(decodeMessage(encodeQuotaDecision(decision)), { quotaDecision: decision })
  t.deepEqual(decodeMessage(encodeQuotaDecision({ ...decision, waitMs: undefined })), { quotaDecision: { ...decision, waitMs: undefined } })
  for (const bytes of [encodeQuotaRequest(request), encodeQuotaDecision(decision)]) {
    t.is(tryDecode(encode(replaceAt(decode(bytes), [1], 2))), undefined)
  }
  t.is(tryDecode(encodeQuotaRequest({ ...request, tokens: -1 })), undefined)
  t.is(tryDecode(encodeQuotaDecision({ ...decision, granted: { quota: -1, tolerance: 0 } })), undefined)
})

test('reports and digests of releases without quota requests are decoded, and say so', t => {
  const earlierReport = (decode(encodeReport(report)) as unknown[]).slice(0, 12)
  const earlierDigest = (decode(encodeDigest(digest)) as unknown[]).slice(0, 9)
  t.like(decodeMessage(encode(earlierReport)), { report: { node: report.node, quotaGrants: undefined } })
  t.like(decodeMessage(encode(earlierDigest)), { digest: { node: digest.node, decidesQuotas: false } })
})
