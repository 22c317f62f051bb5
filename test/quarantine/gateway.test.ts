/** The gateway in front of backend servers that crash when they begin to answer a prompt with a certain part. */
import test from 'ava'
import { formatChunk } from '../../src/stand-ins/raw-backend/index.ts'
import { signed, startGateway } from '../gateway/deployment.ts'
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
