/** The gateway in front of backend servers that crash when they begin to answer a prompt with a certain part. */
import test from 'ava'
import { formatChunk } from '../../src/stand-ins/raw-backend/index.ts'
import { toId } from '../../src/core/ids/index.ts'
import { signed, startGateway } from '../gateway/deployment.ts'
import type { KnownBackend } from '../../src/core/gateway/index.ts'
import type { AttemptId, BackendId, PromptPartId } from '../../src/core/ids/index.ts'
import type { RawBackend, RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

/** Crashes that the users' rule allows before requests must no longer reach a backend server. */
const maxCrashes = 5

function streamHead (request: string): string {
  const headers = Object.entries({ ...signed(request), 'transfer-encoding': 'chunked' })
  return ['HTTP/1.1 200 OK', ...headers.map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
}

/** Starts backend servers that crash 10 ms after the head of an answer to a prompt with the part, and are back after 200 ms. */
async function startCrashingBackends (t: Parameters<typeof startGateway>[0], crashingPart: string, count: number) {
  let crashes = 0
  const servers: RawBackend[] = []
  function answerOn (index: number): RawRequestHandler {
    return ({ headers }, socket) => {
      socket.write(streamHead(headers['x-request'] ?? ''))
      setTimeout(() => {
        if (socket.destroyed) return
        if (!(headers['x-parts'] ?? '').split(',').includes(crashingPart)) {
          socket.write(`${formatChunk('id: 1\ndata: piece\n\n')}0\r\n\r\n`)
          return
        }
        crashes += 1
        servers[index]!.crash()
        setTimeout(() => { servers[index]!.restart() }, 200)
      }, 10)
    }
  }
  const gateway = await startGateway(t, Array.from({ length: count }, (_, index) => answerOn(index)))
  servers.push(...gateway.servers)
  return { ...gateway, crashes: () => crashes }
}

test('stops sending prompts with a part that crashes backend servers, and serves the others', async t => {
  const { call, crashes } = await startCrashingBackends(t, 'crashing', 8)
  const sound: number[] = []
  for (let round = 0; round < 12; round += 1) {
    await call('/resumable/', `c-${round}`, { headers: { 'x-parts': `system-${round % 2},crashing` } })
    const answers = await Promise.all(['system-0', 'system-1'].map(part => call('/resumable/', `s-${round}-${part}`, { headers: { 'x-parts': `${part},document-${round % 3}` } })))
    sound.push(...answers.map(({ status }) => status))
  }
  t.true(crashes() <= maxCrashes, `${crashes()} crashes`)
  t.deepEqual(sound.filter(status => status !== 200), [])
})

test('a suspected prompt that is admitted when no backend server is left does not keep others from being sent', async t => {
  const { call, backends, quarantine } = await startGateway(t, [])
  const parts = [toId<PromptPartId>('system'), toId<PromptPartId>('suspected')]
  quarantine.recordCrash({ attempt: toId<AttemptId>('a-1'), service: 'service', backend: toId<BackendId>('b-9'), backendStartedAtMs: 1, features: parts, hasStarted: true, inProgress: 1, crashedAtMs: Date.now() })
  t.is(backends.list().length, 0)
  const answer = await call('/resumable/', 'r-1', { headers: { 'x-parts': 'system,suspected' } })
  t.true(answer.body.includes('no-backend'))
  t.deepEqual(quarantine.report().trials, [])
})

test('a server that resets a connection, but accepts new ones, makes no prompt suspected', async t => {
  const reset: RawRequestHandler = ({ headers }, socket) => {
    socket.write(streamHead(headers['x-request'] ?? ''))
    setTimeout(() => socket.resetAndDestroy(), 10)
  }
  const { call, events } = await startGateway(t, [reset, reset])
  for (let round = 0; round < 4; round += 1) t.is((await call('/resumable/', `r-${round}`, { headers: { 'x-parts': 'system,document' } })).status, 502)
  t.deepEqual(events.filter(({ event }) => event === 'backendCrashed' || event === 'promptQuarantined'), [])
})

test('the end of a server that is leaving makes no prompt suspected', async t => {
  const { call, servers, backends, events } = await startGateway(t, [({ headers }, socket) => {
    socket.write(streamHead(headers['x-request'] ?? ''))
    const [{ entry }] = backends.list() as [KnownBackend]
    backends.put({ ...entry, isLeaving: true })
    setTimeout(() => servers[0]!.crash(), 10)
  }])
  t.is((await call('/once/', 'r-1', { headers: { 'x-parts': 'system,document' } })).status, 502)
  t.deepEqual(events.filter(({ event }) => event === 'backendCrashed'), [])
})

test('a quarantined prompt is refused on arrival with the time at which it may be tried again, and its open attempts end', async t => {
  const { call, servers, quarantine } = await startGateway(t, [() => {}])
  const open = call('/once/', 'r-1', { headers: { 'x-parts': 'first,bad' } })
  while (servers[0]!.requests.length === 0) await new Promise(resolve => setTimeout(resolve, 5))
  const nowMs = Date.now()
  quarantine.mergeRecords([{ service: 'service', features: [toId<PromptPartId>('bad')], state: 'quarantined', changedAtMs: nowMs, sinceMs: nowMs, untilMs: nowMs + 60_000, crashes: 3, backends: [] }])
  t.like(await open, { status: 502 })
  const answer = await call('/once/', 'r-2', { headers: { 'x-parts': 'second,bad' } })
  t.is(answer.status, 503)
  t.true(Number(answer.headers.get('retry-after')) > 50)
  t.is(servers[0]!.requests.length, 1)
})
