/** Renders plots as SVG. */
import { View, parse } from 'vega'
import { compile } from 'vega-lite'
import type { TopLevelSpec } from 'vega-lite'

/** Renders a plot without a display. */
export async function toSvg (spec: TopLevelSpec): Promise<string> {
  return await new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG()
}
