import test from 'ava'
import { createSystemClock } from '../../src/core/clock/index.ts'
import { AttemptError, createEngineClient } from '../../src/core/backends/index.ts'
import { createId, toId } from '../../src/core/ids/index.ts'
import { createEngineStandIn, generatedAnswer } from '../../src/stand-ins/engine/index.ts'
import { formatResponse, startRawBackend } from '../../src/stand-ins/raw-backend/index.ts'
import { immediateEngineTimings } from '../../src/stand-ins/timings.ts'
import type { ExecutionContext } from 'ava'
import type { AttemptFailure, EngineClient, GenerateEvent, GenerateRequest } from '../../src/core/backends/index.ts'
import type { AttemptId, BackendId, VersionId } from '../../src/core/ids/index.ts'
import type { EngineFaults, EngineStandInOptions } from '../../src/stand-ins/engine/index.ts'

const clock = createSystemClock()
const deadlineInFuture = () => Date.now() + 20_000
const prompt = 'Dossier 17: the debtor paid “half” on 3 May. '.repeat(40)

async function setUp (t: ExecutionContext, options: EngineStandInOptions = {}) {
  const engine = await createEngineStandIn({ ...options, timings: { ...immediateEngineTimings, ...options.timings } })
  const client = createEngineClient({ backend: toId<BackendId>('e1'), url: engine.url, clock, idleTimeoutMs: 1500 })
  t.teardown(async () => {
    await client.close()
    await engine.close()
  })
  return { engine, client }
}

function createRequest (changes: Partial<GenerateRequest> = {}): GenerateRequest {
  const attempt = createId<AttemptId>('a')
  return { attempt, model: 'v1', prompt, generatedText: '', maxTokens: 30, priority: 'normal', deadlineAtMs: deadlineInFuture(), ...changes }
}

async function collect (events: AsyncIterable<GenerateEvent>): Promise<{ text: string, events: GenerateEvent[] }> {
  const all: GenerateEvent[] = []
  for await (const event of events) all.push(event)
  return { text: all.map(event => event.kind === 'token' ? event.text : '').join(''), events: all }
}

async function generateFailure (client: EngineClient, request = createRequest()): Promise<AttemptFailure | undefined> {
  try {
    await collect(client.generate(request, AbortSignal.timeout(20_000)))
    return undefined
  } catch (error) {
    return error instanceof AttemptError ? error.failure : undefined
  }
}

const neverAborted = () => new AbortController().signal

test('an answer arrives complete, in order and with its usage', async t => {
  const { client, engine } = await setUp(t)
  const first = await collect(client.generate(createRequest(), neverAborted()))
  t.is(first.text, generatedAnswer(prompt, 'v1', 30))
  t.deepEqual(first.events.slice(0, 30).map(event => event.kind === 'token' && event.index), Array.from({ length: 30 }, (_, index) => index))
  const second = await collect(client.generate(createRequest(), neverAborted()))
  const end = second.events.at(-1)
  t.true(end?.kind === 'end' && end.cachedTokens === 448 && end.promptTokens === 450 && end.generatedTokens === 30)
  t.is(engine.stats().prefilledTokens, 452)
})

test('raw events contain the engine\'s JSON', async t => {
  const { client } = await setUp(t)
  const { events, text } = await collect(client.generate(createRequest(), neverAborted()))
  const parsed = events.flatMap(event => event.kind === 'token' ? [JSON.parse(event.raw) as { choices: Array<{ delta: { content: string } }> }] : [])
  t.is(parsed.map(chunk => chunk.choices[0]?.delta.content).join(''), text)
})

test('an engine continues after generated text, and another version generates a different answer', async t => {
  const { client } = await setUp(t)
  const whole = generatedAnswer(prompt, 'v1', 30)
  const generatedText = generatedAnswer(prompt, 'v1', 12)
  const rest = await collect(client.generate(createRequest({ generatedText, maxTokens: 18 }), neverAborted()))
  t.is(generatedText + rest.text, whole)
  t.not(generatedAnswer(prompt, 'v2', 30), whole)
})

test('another connection can resume a stream from a given index', async t => {
  const { client, engine } = await setUp(t)
  const request = createRequest()
  for await (const event of client.generate(request, neverAborted())) {
    if (event.kind === 'token' && event.index === 9) break
  }
  const rest = await collect(client.resume(request.attempt, 10, neverAborted()))
  t.is(generatedAnswer(prompt, 'v1', 10) + rest.text, generatedAnswer(prompt, 'v1', 30))
  t.is(engine.stats().started, 1)
})

const faults: Array<[string, Partial<EngineFaults>, AttemptFailure['reason'], boolean]> = [
  ['a gap in the index', { skipToken: 7 }, 'answer-incomplete', true],
  ['a missing end marker', { cutAtToken: 7 }, 'answer-incomplete', true],
  ['an event of another attempt', { crossAtToken: 7 }, 'answer-incomplete', true],
  ['an engine that is down', { down: true }, 'connect-failed', false],
  ['a frozen engine', { frozen: true }, 'stream-silent', true],
  ['an overloaded engine', { refuse: 'overloaded' }, 'overloaded', false],
  ['a failing engine', { refuse: 'failing' }, 'backend-failed', true],
  ['a leaving engine', { goneAtMs: 1 }, 'backend-leaving', false]
]

for (const [name, fault, reason, mayHaveRun] of faults) {
  test(`${name} is reported as ${reason}`, async t => {
    const { client, engine } = await setUp(t)
    await engine.set(fault)
    const failure = await generateFailure(client)
    t.is(failure?.reason, reason)
    t.is(failure?.mayHaveRun, mayHaveRun)
  })
}

test('streams that break or stop sending in the middle are reported, and new streams work', async t => {
  const { client, engine } = await setUp(t, { timings: { stepMs: 20 } })
  for (const [fault, reason] of [[{ breakStreams: true }, 'stream-broken'], [{ silenceStreams: true }, 'stream-silent']] as const) {
    const stream = client.generate(createRequest({ maxTokens: 1000 }), neverAborted())
    const reading = collect(stream)
    while (engine.stats().running === 0) await clock.sleep(5)
    await clock.sleep(50)
    await engine.set(fault)
    const error = await t.throwsAsync(reading)
    t.is(error instanceof AttemptError && error.failure.reason, reason)
  }
  const { text } = await collect(client.generate(createRequest({ maxTokens: 5 }), neverAborted()))
  t.is(text, generatedAnswer(prompt, 'v1', 5))
})

test('a bad version fails only when its configured conditions hold', async t => {
  const { client, engine } = await setUp(t, { behaviours: { v1: { effect: 'fail', afterRequests: 1, route: 'letters' } } })
  t.is(await generateFailure(client, createRequest({ route: 'letters' })), undefined)
  t.is(await generateFailure(client, createRequest({ route: 'notices' })), undefined)
  t.is((await generateFailure(client, createRequest({ route: 'letters' })))?.reason, 'backend-failed')
  engine.setBehaviour('v1', { effect: 'break' })
  t.is((await generateFailure(client))?.reason, 'backend-failed')
})

test('a cancelled attempt ends at the engine, and an abandoned one ends after a timeout', async t => {
  const { client, engine } = await setUp(t, { timings: { stepMs: 10, abandonedAfterMs: 100 } })
  for (const cancels of [true, false]) {
    const request = createRequest({ maxTokens: 100_000 })
    const disconnect = new AbortController()
    const reading = collect(client.generate(request, disconnect.signal))
    while (engine.stats().running === 0) await clock.sleep(5)
    disconnect.abort(new Error('left'))
    await t.throwsAsync(reading, { message: 'left' })
    if (cancels) await client.cancel(request.attempt)
    while (engine.stats().running > 0) await clock.sleep(20)
  }
  t.is(engine.stats().cancelled, 2)
})

test('an imported cache spares another engine from computing the tokens', async t => {
  const exporting = await setUp(t)
  const importing = await setUp(t)
  const request = createRequest({ maxTokens: 100 })
  const { text } = await collect(exporting.client.generate(request, neverAborted()))
  const handle = (await exporting.client.exportCache(request.attempt, deadlineInFuture())).unwrapOr('')
  t.true((await importing.client.importCache(handle, deadlineInFuture())).isOk)
  await collect(importing.client.generate(createRequest({ generatedText: text, cacheHandle: handle }), neverAborted()))
  t.is(importing.engine.stats().cachedTokens, 576)
  const events = (await importing.client.cacheEvents(0, deadlineInFuture())).unwrapOr([])
  t.is(events[0]?.blocks.length, 9)
})

test('an order sets the wanted state, and an engine that checks fencing rejects an outdated one', async t => {
  for (const checksFencing of [true, false]) {
    const { client, engine } = await setUp(t, { checksFencing })
    const wanted = (version: string) => ({ versions: [toId<VersionId>(version)], adapters: [], role: 'serve' as const })
    t.true((await client.order({ fencingNumber: 7, wanted: wanted('v2') }, deadlineInFuture())).isOk)
    while (!engine.state().versions.includes(toId<VersionId>('v2'))) await clock.sleep(5)
    const outdated = await client.order({ fencingNumber: 6, wanted: wanted('v3') }, deadlineInFuture())
    t.is(outdated.match({ Ok: () => 'taken', Err: error => error.kind as string }), checksFencing ? 'OrderFenced' : 'taken')
    t.is((await client.state(deadlineInFuture())).unwrapOr(undefined)?.highestFencingNumber, 7)
  }
})

// Guards against an engine that counts as not having run a prompt because of what a broken response states.
test('a response with an invalid status leaves it unknown whether the engine ran the prompt', async t => {
  const engine = await startRawBackend((_request, socket) => { socket.end(formatResponse(600, {}, JSON.stringify({ error: { code: 'overloaded', message: 'full' } }))) })
  const client = createEngineClient({ backend: toId<BackendId>('e1'), url: `http://127.0.0.1:${engine.port}`, clock, idleTimeoutMs: 1500 })
  t.teardown(async () => {
    await client.close()
    await engine.close()
  })
  t.like(await generateFailure(client), { reason: 'answer-incomplete', mayHaveRun: true })
})
