/** Guards against requests that reach a backend server outside the regions of their route and team, by a first attempt, a retry, a resumed stream or a last resort. */
import test from 'ava'
import { createRouteTable } from '../../src/core/gateway/index.ts'
import { formatChunk } from '../../src/stand-ins/raw-backend/index.ts'
import { configuration, respondOk, signed, startGateway } from './deployment.ts'
import type { GatewayConfiguration } from '../../src/core/gateway/index.ts'
import type { RawRequestHandler } from '../../src/stand-ins/raw-backend/index.ts'

/** The region of domain `unknown` is not known. */
const placement = { domains: ['home-1', 'abroad', 'unknown', 'home-2'], regions: { 'home-1': 'home', 'home-2': 'home', abroad: 'abroad' } }
const reset: RawRequestHandler = (_request, socket) => { socket.resetAndDestroy() }

function restricted (route: string[] | undefined, team: string[] | undefined): Partial<GatewayConfiguration> {
  const withRegions = (regions: string[] | undefined) => regions === undefined ? {} : { allowedRegions: new Set(regions) }
  return {
    routes: configuration.routes.map(each => ({ ...each, ...withRegions(route) })),
    teams: configuration.teams!.map(each => ({ ...each, ...withRegions(team) }))
  }
}

for (const [name, changes] of Object.entries({ route: restricted(['home'], undefined), team: restricted(undefined, ['home']), 'route and a team': restricted(['home', 'abroad'], ['home', 'other']) })) {
  test(`neither first attempts nor retries of a restricted ${name} leave the region, also when its backend servers fail`, async t => {
    const { call, servers } = await startGateway(t, [reset, respondOk, respondOk, reset], changes, placement)
    for (let index = 0; index < 8; index += 1) t.is((await call(index % 2 === 0 ? '/look-up/' : '/register/', `r-${index}`)).status, 502)
    t.deepEqual(servers.slice(1, 3).map(({ requests }) => requests.length), [0, 0])
  })
}

test('a stream of a restricted route that breaks resumes in the region', async t => {
  const begin = (id: string, eventId: number): string => {
    const headers = Object.entries({ ...signed(id), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' })
    return ['HTTP/1.1 200 OK', ...headers.map(([name, value]) => `${name}: ${value}`), '', formatChunk(`id: ${eventId}\ndata: x\n\n`)].join('\r\n')
  }
  const breaking: RawRequestHandler = ({ headers }, socket) => {
    const isResumed = headers['last-event-id'] !== undefined
    socket.write(begin(headers['x-request'] ?? '', isResumed ? 2 : 1) + (isResumed ? '0\r\n\r\n' : ''))
    if (!isResumed) setTimeout(() => socket.resetAndDestroy(), 20)
  }
  const { call, servers } = await startGateway(t, [breaking, breaking, breaking, breaking], restricted(['home'], undefined), placement)
  t.like(await call('/resumable/', 'r-1'), { status: 200, body: 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n', broken: false })
  t.deepEqual(servers.slice(1, 3).map(({ requests }) => requests.length), [0, 0])
})

test('a request without an allowed backend server is refused at once, and one without a restriction may go anywhere', async t => {
  const { call, servers, events, evacuate, state } = await startGateway(t, [respondOk, respondOk, respondOk, respondOk], restricted(['home'], ['abroad']), placement)
  const refused = await call('/look-up/', 'r-1')
  t.is(refused.status, 503)
  t.true(Number(refused.headers.get('retry-after')) >= 2)
  t.is(servers.reduce((sum, { requests }) => sum + requests.length, 0), 0)
  state.table = createRouteTable({ ...configuration, ...restricted(['home'], undefined) })
  for (const domain of ['home-1', 'home-2']) evacuate(domain)
  t.is((await call('/look-up/', 'r-2')).status, 503)
  t.deepEqual(events.flatMap(({ event, fields }) => event === 'gatewayRefused' ? [fields['reason']] : []), ['region-not-allowed', 'backends-evacuated'])
  state.table = createRouteTable(configuration)
  t.is((await call('/look-up/', 'r-3')).status, 200)
})
