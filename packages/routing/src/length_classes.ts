import type {LengthClassSettings} from '@parsleywood/schema/settings';

/** Length classes in rising order of tokens. */
export class LengthClasses {
  private readonly bounds: readonly number[];

  constructor(
    private readonly classes: readonly [
      LengthClassSettings,
      ...LengthClassSettings[],
    ],
  ) {
    this.bounds = classes.map(lengthClass => lengthClass.upToTokens);
  }

  get size(): number {
    return this.classes.length;
  }

  /** Position of the class of a prompt; the last class takes the rest. */
  indexOf(tokens: number): number {
    const index = this.bounds.findIndex(bound => tokens <= bound);
    return index < 0 ? this.classes.length - 1 : index;
  }

  /** Position of the class of a name; undefined when there is none. */
  indexOfName(name: string): number | undefined {
    const index = this.classes.findIndex(
      lengthClass => lengthClass.name === name,
    );
    return index < 0 ? undefined : index;
  }

  /** The class at a position; positions past the end give the last class. */
  at(index: number): LengthClassSettings {
    return (
      this.classes[index] ??
      this.classes[this.classes.length - 1] ??
      this.classes[0]
    );
  }

  /** The class of a prompt. */
  findClass(tokens: number): LengthClassSettings {
    return this.at(this.indexOf(tokens));
  }
}
