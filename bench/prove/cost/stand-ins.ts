/** The stand-ins of the cost measurement in a process of their own. Prints their addresses; ends with its standard input. */
import { createKeyValueStandIn, createServiceStandIn } from '../../../src/stand-ins/index.ts'

const keyValue = await createKeyValueStandIn()
const service = await createServiceStandIn({ faults: { callMs: 0 } })
process.stdout.write(`${JSON.stringify({ keyValueUrl: keyValue.url, keyValueControlUrl: keyValue.controlUrl, serviceUrl: service.url })}\n`)
process.stdin.resume()
process.stdin.on('end', () => process.exit(0))
