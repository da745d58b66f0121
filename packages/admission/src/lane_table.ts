import type {LengthClassSettings} from '@parsleywood/schema/settings';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {ClassLane} from './class_lane.js';

/** Lanes by model and length class, created on first use. */
export class LaneTable {
  private readonly lanes = new Map<string, Map<string, ClassLane>>();

  constructor(
    private classes: readonly LengthClassSettings[],
    private readonly random: RandomGenerator,
  ) {}

  /** Lists the lanes of each model that was requested since the start. */
  listByModel(): ClassLane[][] {
    return [...this.lanes.values()].map(lanes => [...lanes.values()]);
  }

  getOrCreate(model: string, lengthClass: string): ClassLane {
    const lanes = this.lanes.get(model) ?? new Map<string, ClassLane>();
    this.lanes.set(model, lanes);
    let lane = lanes.get(lengthClass);
    if (!lane) {
      lane = new ClassLane(this.findClass(lengthClass), this.random);
      lanes.set(lengthClass, lane);
    }
    return lane;
  }

  setClasses(classes: readonly LengthClassSettings[]): void {
    this.classes = classes;
    for (const lanes of this.lanes.values()) {
      for (const [name, lane] of lanes) lane.setSettings(this.findClass(name));
    }
  }

  private findClass(name: string): LengthClassSettings {
    const match = this.classes.find(({name: other}) => other === name);
    const settings = match ?? this.classes[this.classes.length - 1];
    if (!settings) throw new RangeError('settings define no length classes');
    return settings;
  }
}
