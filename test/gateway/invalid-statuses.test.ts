/** Guards against responses with an invalid status that reach callers as answers. */
import test from 'ava'
import { formatResponse } from '../../src/stand-ins/raw-backend/index.ts'
import { signed, startGateway } from './deployment.ts'

for (const status of ['000', '099', '199', '600', '700', '999', '2e2', '-20', 'OK']) {
  for (const path of ['/register/', '/look-up/', '/once/', '/resumable/']) {
    test(`a response with the status ${status} at ${path} is a broken one, also if it states that the request was not run`, async t => {
      for (const statement of [{}, { 'x-not-run': '1' }] as Array<Record<string, string>>) {
        const { call } = await startGateway(t, [({ headers }, socket) => {
          const response = formatResponse(200, { ...signed(headers['x-request'] ?? ''), ...statement }, 'id: 1\ndata: part\n\n')
          socket.end(response.replace(' 200 ', ` ${status} `))
        }])
        t.is((await call(path, 'r-1')).status, 502)
      }
    })
  }
}
