/** The gateway in front of plain services and engines that crash when they run a certain request, which comes again and again. */
import test from 'ava'
import { formatChunk, formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { signed, startGateway } from '../gateway/deployment.ts'
import type { ExecutionContext } from 'ava'
import type { RawBackend, RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

/** Crashes that the users' rule counts before a request must no longer reach a backend server. */
const maxCrashes = 3

interface Crashing {
  /** Whether a request crashes the server that runs it. */
  isCrashing: (request: Parameters<RawRequestHandler>[0]) => boolean
  count: number
  /** Time from the crash of a server until it accepts connections again. */
  restartMs: number
}

/** Starts backend servers that crash 10 ms after they began to run such a request, and answer others after 20 ms. */
async function startCrashingServers (t: ExecutionContext, { isCrashing, count, restartMs }: Crashing) {
  let crashes = 0
  const servers: RawBackend[] = []
  function answerOn (index: number): RawRequestHandler {
    return (request, socket) => {
      const isStream = request.headers['x-parts'] !== undefined
      const id = request.headers['x-request'] ?? ''
      if (isStream) socket.write(['HTTP/1.1 200 OK', ...Object.entries({ ...signed(id), 'transfer-encoding': 'chunked' }).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n'))
      setTimeout(() => {
        if (socket.destroyed) return
        if (!isCrashing(request)) return socket.write(isStream ? `${formatChunk('id: 1\ndata: piece\n\n')}0\r\n\r\n` : formatResponse(200, signed(id), 'whole'))
        crashes += 1
        servers[index]!.crash()
        setTimeout(() => { servers[index]!.restart() }, restartMs)
      }, isCrashing(request) ? 10 : 20)
    }
  }
  const gateway = await startGateway(t, Array.from({ length: count }, (_, index) => answerOn(index)))
  servers.push(...gateway.servers)
  return { ...gateway, crashes: () => crashes }
}

const pause = (forMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, forMs))

test('a request that crashes the server of a plain service that runs it is no longer sent after three crashes, and others are served', async t => {
  const { call, crashes } = await startCrashingServers(t, { isCrashing: ({ target }) => target === '/look-up/bad?page=1', count: 3, restartMs: 300 })
  const sound: number[] = []
  for (let round = 0; round < 30; round += 1) {
    const repeated = call('/look-up/bad?page=1', `c-${round}`)
    const answers = await Promise.all([1, 2].map(index => call(`/look-up/sound?page=${index}`, `s-${round}-${index}`)))
    sound.push(...answers.map(({ status }) => status))
    await repeated
    await pause(50)
  }
  t.true(crashes() <= maxCrashes, `${crashes()} crashes`)
  t.true(sound.filter(status => status === 200).length >= 50, `${sound.filter(status => status !== 200).length} of ${sound.length} sound requests were not answered`)
})

test('a request that crashes engines is refused by itself, and the parts that sound requests share with it are not', async t => {
  const { call, crashes, events } = await startCrashingServers(t, { isCrashing: ({ target }) => target === '/resumable/bad', count: 6, restartMs: 300 })
  const sound: number[] = []
  for (let round = 0; round < 20; round += 1) {
    const repeated = call('/resumable/bad', `c-${round}`, { headers: { 'x-parts': 'system,document' } })
    const answers = await Promise.all([1, 2, 3].map(index => call(`/resumable/sound-${round}`, `s-${round}-${index}`, { headers: { 'x-parts': `system,document-${index}` } })))
    sound.push(...answers.map(({ status }) => status))
    await repeated
    await pause(30)
  }
  t.true(crashes() <= maxCrashes, `${crashes()} crashes`)
  t.deepEqual(events.flatMap(({ event, fields }) => event === 'promptQuarantined' ? fields.parts as string[] : []).filter(part => part === 'system' || part === 'document'), [])
  t.true(sound.filter(status => status === 200).length >= 54, `${sound.filter(status => status !== 200).length} of ${sound.length} sound requests were not answered`)
})

test('a request that crashes engines after the first event of its answer is no longer sent after three crashes', async t => {
  let crashes = 0
  const servers: RawBackend[] = []
  const answerOn = (index: number): RawRequestHandler => ({ headers, target }, socket) => {
    const id = headers['x-request'] ?? ''
    const head = ['HTTP/1.1 200 OK', ...Object.entries({ ...signed(id), 'transfer-encoding': 'chunked' }).map(([name, value]) => `${name}: ${value}`), '', ''].join('\r\n')
    const event = formatChunk('id: 1\ndata: piece\n\n')
    if (target !== '/once/bad') {
      socket.write(`${head}${event}0\r\n\r\n`)
      return
    }
    socket.write(head + event)
    setTimeout(() => {
      if (socket.destroyed) return
      crashes += 1
      servers[index]!.crash()
      setTimeout(() => { servers[index]!.restart() }, 200)
    }, 20)
  }
  const { call, servers: started } = await startGateway(t, [0, 1, 2, 3].map(answerOn))
  servers.push(...started)
  for (let round = 0; round < 20; round += 1) {
    await call('/once/bad', `c-${round}`, { headers: { 'x-parts': 'system,document' } })
    t.is((await call('/once/sound', `s-${round}`, { headers: { 'x-parts': 'system,document' } })).status, 200)
    await pause(60)
  }
  t.true(crashes <= maxCrashes, `${crashes} crashes`)
})
